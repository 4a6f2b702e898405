package org.plantainferry.verification.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** Collects the latencies and errors of all callers of a run. Thread-safe. */
final class LoadRecorder {
    private static final long MAX_LATENCY_NANOS = TimeUnit.MINUTES.toNanos(2);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Recorder mLatencyRecorder = new Recorder(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private final Map<String, LongAdder> mErrorCounts = new ConcurrentHashMap<>();
    private final LongAdder mReplicaReads = new LongAdder();
    private final LongAdder mReads = new LongAdder();

    void record(LoadConnection.Response response, boolean isRead, long latencyNanos) {
        if (response.status() == 200) {
            mLatencyRecorder.recordValue(Math.min(Math.max(latencyNanos, 1), MAX_LATENCY_NANOS));
            if (isRead) {
                mReads.increment();
                if (response.body().contains("\"role\":\"replica\"")) {
                    mReplicaReads.increment();
                }
            }
            return;
        }
        String error = response.verdict() + " " + errorCode(response);
        mErrorCounts.computeIfAbsent(error, key -> new LongAdder()).increment();
    }

    private static String errorCode(LoadConnection.Response response) {
        if (response.status() == 0) {
            return "CONNECTION";
        }
        int codeField = response.body().indexOf("\"code\":\"");
        if (codeField >= 0) {
            int start = codeField + "\"code\":\"".length();
            return response.body().substring(start, response.body().indexOf('"', start));
        }
        return "STATUS_" + response.status();
    }

    LoadReport createReport(long measuredNanos) {
        Histogram latency = mLatencyRecorder.getIntervalHistogram();
        Map<String, Long> errors = new TreeMap<>();
        mErrorCounts.forEach((key, count) -> errors.put(key, count.sum()));
        return new LoadReport(
                measuredNanos / 1e9,
                latency,
                mReads.sum(),
                mReplicaReads.sum(),
                Map.copyOf(errors));
    }
}
