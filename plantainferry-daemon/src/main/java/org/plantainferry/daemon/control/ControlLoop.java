package org.plantainferry.daemon.control;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.RejectedExecutionHandlers;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.daemon.log.LogEvent;

/**
 * Runs tasks on the control thread, the only thread that accesses control state.
 *
 * <p>The queue is bounded. A task that does not fit is dropped and counted; later events restore
 * the control state. An unexpected exception ends only the task that threw it; it is logged.
 *
 * @since 0.1
 */
public final class ControlLoop implements AutoCloseable {
    private static final int MAX_QUEUED_TASKS = 16_384;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final DefaultEventExecutor mExecutor =
            new DefaultEventExecutor(
                    null,
                    new DefaultThreadFactory("control", true),
                    MAX_QUEUED_TASKS,
                    RejectedExecutionHandlers.reject());
    private final AtomicLong mDroppedTasks = new AtomicLong();

    /** Creates a loop whose thread starts with the first task. */
    public ControlLoop() {}

    /** Runs a task on the control thread; drops it when the queue is full or the loop is closed. */
    public void run(String name, Runnable task) {
        try {
            mExecutor.execute(() -> runGuarded(name, task));
        } catch (RejectedExecutionException e) {
            mDroppedTasks.incrementAndGet();
        }
    }

    /** Runs a task on the control thread after a delay; ignored once the loop is closing. */
    public void runLater(String name, long delayMillis, Runnable task) {
        if (mExecutor.isShuttingDown()) {
            return;
        }
        mExecutor.schedule(() -> runGuarded(name, task), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task on the control thread periodically, with a fixed delay between two runs. */
    public void runEvery(String name, long delayMillis, Runnable task) {
        mExecutor.scheduleWithFixedDelay(
                () -> runGuarded(name, task), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task on the control thread and waits for its result.
     *
     * <p>Must not be called on the control thread, where it would wait for itself.
     *
     * @throws PlantainferryException with {@link ErrorCode#INTERNAL} when the task fails, is
     *     rejected or does not end within the timeout
     */
    public <T> T call(Callable<T> task, long timeoutMillis) {
        try {
            return mExecutor.submit(task).get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlantainferryException(ErrorCode.INTERNAL, "interrupted", e);
        } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
            throw new PlantainferryException(
                    ErrorCode.INTERNAL, "the control thread did not answer", e);
        }
    }

    /** Returns the number of tasks that the full queue rejected. */
    public long droppedTasks() {
        return mDroppedTasks.get();
    }

    // No single message may stop the periodic tasks of control, whatever exception it causes.
    private static void runGuarded(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LogEvent.CONTROL_ERROR.logWithCause(e, name, e.getMessage());
        }
    }

    @Override
    public void close() {
        mExecutor
                .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }
}
