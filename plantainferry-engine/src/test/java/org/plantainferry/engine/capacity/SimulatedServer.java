package org.plantainferry.engine.capacity;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.plantainferry.engine.capacity.ServerRoom.Outcome;

/** Simulates a server with slots, a bounded queue in order of arrival, and a changing speed. */
final class SimulatedServer {
    private static final int QUEUE_LIMIT = 32;

    private final Time mTime;
    private final int mSlots;
    private final int mDelayedAbove;
    private final Deque<Runnable> mQueue = new ArrayDeque<>();
    private int mBusy;
    private double mSlowness = 1;
    private double mServedMillis;

    /** Runs actions in the order of their simulated times. */
    static final class Time {
        private final PriorityQueue<Event> mEvents =
                new PriorityQueue<>(
                        Comparator.comparingLong(Event::nanos).thenComparingLong(Event::number));
        private long mNanos;
        private long mNumber;

        private record Event(long nanos, long number, Runnable action) {}

        long now() {
            return mNanos;
        }

        void after(double millis, Runnable action) {
            mEvents.add(new Event(mNanos + (long) (millis * 1e6), mNumber++, action));
        }

        void runForMillis(double millis) {
            long end = mNanos + (long) (millis * 1e6);
            while (!mEvents.isEmpty() && mEvents.peek().nanos() <= end) {
                Event event = mEvents.poll();
                mNanos = event.nanos();
                event.action().run();
            }
            mNanos = end;
        }
    }

    /**
     * Creates a server.
     *
     * @param delayedAbove the number of statements in progress above which they delay each other
     */
    SimulatedServer(Time time, int slots, int delayedAbove) {
        mTime = time;
        mSlots = slots;
        mDelayedAbove = delayedAbove;
    }

    void setSlowness(double slowness) {
        mSlowness = slowness;
    }

    /** Runs a statement that takes a time alone at full speed. */
    void send(double millis, Consumer<Outcome> callback) {
        if (mQueue.size() >= QUEUE_LIMIT) {
            mTime.after(0.5, () -> callback.accept(Outcome.BUSY));
            return;
        }
        mQueue.add(() -> run(millis, callback));
        serveNext();
    }

    private void run(double millis, Consumer<Outcome> callback) {
        double delay = Math.max(1, (double) mBusy / mDelayedAbove);
        mTime.after(
                millis * mSlowness * delay,
                () -> {
                    mBusy--;
                    mServedMillis += millis;
                    serveNext();
                    callback.accept(Outcome.ANSWERED);
                });
    }

    private void serveNext() {
        while (mBusy < mSlots && !mQueue.isEmpty()) {
            mBusy++;
            mQueue.poll().run();
        }
    }

    int inProgress() {
        return mBusy + mQueue.size();
    }

    /** Returns the work that was served since the last call, in milliseconds alone. */
    double takeServedMillis() {
        double served = mServedMillis;
        mServedMillis = 0;
        return served;
    }
}
