package org.plantainferry.gateway.traffic;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.plantainferry.gateway.log.GatewayEvent;

/**
 * Sums up by priority how statements waited and were refused, and logs a line for each priority and
 * interval in which some waited for long or were refused.
 *
 * <p>Not thread-safe.
 */
final class WaitingSummary {
    private static final long LONG_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    // Routes may have any number as their priority; those beyond share the line of the last.
    private static final int MAX_LINES = 8;

    private final Map<Integer, Sum> mSums = new TreeMap<>();

    /** Holds the sums of one priority, with an example of each. */
    private static final class Sum {
        private long mWaited;
        private long mLongestNanos;
        private long mRefused;
        private String mRequest = "-";
        private String mWorkspace = "-";
        private String mServer = "-";
        private String mRefusedRequest = "-";
        private String mReason = "";
    }

    private Sum sum(int priority) {
        return mSums.computeIfAbsent(Math.min(priority, MAX_LINES - 1), key -> new Sum());
    }

    void onWaited(String requestId, String server, int priority, String workspace, long nanos) {
        Sum sum = sum(priority);
        sum.mWaited++;
        if (nanos > sum.mLongestNanos) {
            sum.mLongestNanos = nanos;
            sum.mRequest = requestId;
            sum.mWorkspace = workspace;
            sum.mServer = server;
        }
    }

    void onRefused(String requestId, int priority, String reason) {
        Sum sum = sum(priority);
        sum.mRefused++;
        sum.mRefusedRequest = requestId;
        sum.mReason = reason;
    }

    /** Logs the sums since the last call. */
    void log() {
        mSums.forEach(WaitingSummary::log);
        mSums.clear();
    }

    private static void log(int priority, Sum sum) {
        if (sum.mRefused == 0 && sum.mLongestNanos < LONG_WAIT_NANOS) {
            return;
        }
        GatewayEvent.STATEMENTS_WAITED.log(
                priority,
                sum.mWaited,
                TimeUnit.NANOSECONDS.toMillis(sum.mLongestNanos),
                sum.mRequest,
                sum.mWorkspace,
                sum.mServer,
                sum.mRefused,
                sum.mRefusedRequest,
                sum.mReason);
    }
}
