package org.plantainferry.engine.capacity;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Remembers how many statements were in progress when each of those in progress was sent.
 *
 * <p>Not thread-safe.
 */
final class OpenStatements {
    private final Deque<Sent> mOpen = new ArrayDeque<>();

    /** Holds when a statement was sent, and how many were in progress then, including it. */
    private record Sent(long nanos, int concurrency) {}

    int size() {
        return mOpen.size();
    }

    void add(long sentNanos) {
        mOpen.addLast(new Sent(sentNanos, mOpen.size() + 1));
    }

    /**
     * Removes the statement that was sent closest to a time.
     *
     * @return the greater one of the numbers in progress when it was sent and now; 0 if none is in
     *     progress
     */
    int remove(long sentNanos) {
        Sent closest = null;
        for (Sent sent : mOpen) {
            if (closest == null
                    || Math.abs(sent.nanos() - sentNanos) < Math.abs(closest.nanos() - sentNanos)) {
                closest = sent;
            }
        }
        if (closest == null) {
            return 0;
        }
        int concurrency = Math.max(closest.concurrency(), mOpen.size());
        Sent removed = closest;
        mOpen.removeIf(sent -> sent == removed);
        return concurrency;
    }
}
