package org.plantainferry.gateway.traffic;

/**
 * Runs a task that starts other work in a loop, which may call for the task again before it ends.
 *
 * <p>Such a call does nothing, because the loop goes on by itself; otherwise the depth of the stack
 * would grow with the amount of work. Not thread-safe.
 */
final class UnnestedTask implements Runnable {
    private final Runnable mTask;
    private boolean mRunning;

    /** Creates a runner of a task that looks for work again after each piece of it. */
    UnnestedTask(Runnable task) {
        mTask = task;
    }

    @Override
    public void run() {
        if (mRunning) {
            return;
        }
        mRunning = true;
        try {
            mTask.run();
        } finally {
            mRunning = false;
        }
    }
}
