package org.plantainferry.verification.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** Collects latencies and outcomes from all event loops. */
final class LoadRecorder {
    private static final long MAX_LATENCY_NANOS = TimeUnit.MINUTES.toNanos(2);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Recorder mLatencyRecorder = new Recorder(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private final Map<String, LongAdder> mErrorCounts = new ConcurrentHashMap<>();
    private final LongAdder mReplicaReads = new LongAdder();
    private final LongAdder mReads = new LongAdder();

    void record(LoadConnection.Response answer, boolean read, long nanos) {
        if (answer.status() == 200) {
            mLatencyRecorder.recordValue(Math.min(Math.max(nanos, 1), MAX_LATENCY_NANOS));
            if (read) {
                mReads.increment();
                if (answer.body().contains("\"role\":\"replica\"")) {
                    mReplicaReads.increment();
                }
            }
            return;
        }
        String error = answer.verdict() + " " + errorCode(answer);
        mErrorCounts.computeIfAbsent(error, key -> new LongAdder()).increment();
    }

    private static String errorCode(LoadConnection.Response answer) {
        if (answer.status() == 0) {
            return "CONNECTION";
        }
        int quote = answer.body().indexOf("\"code\":\"");
        if (quote >= 0) {
            int start = quote + "\"code\":\"".length();
            return answer.body().substring(start, answer.body().indexOf('"', start));
        }
        return "STATUS_" + answer.status();
    }

    LoadReport createReport(long nanos) {
        Histogram latency = mLatencyRecorder.getIntervalHistogram();
        Map<String, Long> errors = new TreeMap<>();
        mErrorCounts.forEach((key, count) -> errors.put(key, count.sum()));
        return new LoadReport(
                nanos / 1e9, latency, mReads.sum(), mReplicaReads.sum(), Map.copyOf(errors));
    }
}
