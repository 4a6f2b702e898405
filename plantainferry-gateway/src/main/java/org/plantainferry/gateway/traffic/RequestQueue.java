package org.plantainferry.gateway.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import org.plantainferry.gateway.statement.CallerMessage;

/**
 * Holds the requests of one caller that wait, and the size of the one that runs.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class RequestQueue {
    private static final int MAX_REQUESTS = 64;
    private static final long MAX_BYTES = 1024 * 1024;
    // What a request needs besides its text.
    private static final long OVERHEAD_BYTES = 256;

    private record SizedRequest(CallerMessage.Request request, long bytes) {}

    private final Deque<SizedRequest> mWaiting = new ArrayDeque<>();
    private long mWaitingBytes;
    private long mRunningBytes;
    private boolean mFull;

    /** Adds a request at the end. */
    void add(CallerMessage.Request request, int characters) {
        long bytes = characters + OVERHEAD_BYTES;
        mWaiting.addLast(new SizedRequest(request, bytes));
        mWaitingBytes += bytes;
        mFull |= mWaiting.size() >= MAX_REQUESTS || mWaitingBytes >= MAX_BYTES;
    }

    /** Removes the first request, which runs from then on. */
    CallerMessage.Request startFirst() {
        SizedRequest first = mWaiting.removeFirst();
        mWaitingBytes -= first.bytes();
        mRunningBytes = first.bytes();
        mFull &= mWaiting.size() > MAX_REQUESTS / 2 || mWaitingBytes > MAX_BYTES / 2;
        return first.request();
    }

    /** Ends the request that runs. */
    void endRunning() {
        mRunningBytes = 0;
    }

    boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    /** Returns whether no more should be received until some of the requests have run. */
    boolean isFull() {
        return mFull;
    }

    /** Returns the approximate size of all requests; one that runs is also on its way. */
    long bytes() {
        return mWaitingBytes + 2 * mRunningBytes;
    }

    void clear() {
        mWaiting.clear();
        mWaitingBytes = 0;
        mFull = false;
    }
}
