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
    private static final long HIGHEST_NANOS = TimeUnit.MINUTES.toNanos(2);
    private static final int DIGITS = 3;

    private final Recorder mLatency = new Recorder(HIGHEST_NANOS, DIGITS);
    private final Map<String, LongAdder> mErrors = new ConcurrentHashMap<>();
    private final LongAdder mReplicaReads = new LongAdder();
    private final LongAdder mReads = new LongAdder();

    void record(LoadConnection.Answer answer, boolean read, long nanos) {
        if (answer.status() == 200) {
            mLatency.recordValue(Math.min(Math.max(nanos, 1), HIGHEST_NANOS));
            if (read) {
                mReads.increment();
                if (answer.body().contains("\"role\":\"replica\"")) {
                    mReplicaReads.increment();
                }
            }
            return;
        }
        String error = answer.verdict() + " " + code(answer);
        mErrors.computeIfAbsent(error, key -> new LongAdder()).increment();
    }

    private static String code(LoadConnection.Answer answer) {
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

    LoadReport report(long nanos) {
        Histogram latency = mLatency.getIntervalHistogram();
        Map<String, Long> errors = new TreeMap<>();
        mErrors.forEach((key, count) -> errors.put(key, count.sum()));
        return new LoadReport(
                nanos / 1e9, latency, mReads.sum(), mReplicaReads.sum(), Map.copyOf(errors));
    }
}
