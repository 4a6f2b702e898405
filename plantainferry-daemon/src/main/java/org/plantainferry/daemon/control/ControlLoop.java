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
 * Runs the control thread, the only thread that touches control state.
 *
 * <p>Its queue is bounded. An event that does not fit is dropped and counted; control state is
 * rebuilt from later events. An unexpected error ends the task that met it, not the thread.
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

    /** Runs a task on the control thread. */
    public void run(String name, Runnable task) {
        try {
            mExecutor.execute(() -> runGuarded(name, task));
        } catch (RejectedExecutionException e) {
            mDroppedTasks.incrementAndGet();
        }
    }

    /** Runs a task on the control thread after a delay. */
    public void runLater(String name, long delayMillis, Runnable task) {
        if (mExecutor.isShuttingDown()) {
            return;
        }
        mExecutor.schedule(() -> runGuarded(name, task), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task on the control thread again and again, with a fixed pause in between. */
    public void runEvery(String name, long pauseMillis, Runnable task) {
        mExecutor.scheduleWithFixedDelay(
                () -> runGuarded(name, task), pauseMillis, pauseMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Asks the control thread for a value; not to be called on the control thread.
     *
     * @throws PlantainferryException with {@link ErrorCode#INTERNAL} when it fails or does not
     *     answer in time
     */
    public <T> T call(Callable<T> question, long timeoutMillis) {
        try {
            return mExecutor.submit(question).get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlantainferryException(ErrorCode.INTERNAL, "interrupted", e);
        } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
            throw new PlantainferryException(
                    ErrorCode.INTERNAL, "the control thread did not answer", e);
        }
    }

    /** Returns the number of tasks that were dropped because the queue was full. */
    public long droppedTasks() {
        return mDroppedTasks.get();
    }

    // One faulty message must not stop control, whatever its error is.
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
