package org.plantainferry.engine.capacity;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Learns how long each kind of work takes at a server of average speed.
 *
 * <p>Holds a bounded number of kinds; the one that was used least recently is dropped. Not
 * thread-safe.
 *
 * @since 0.4
 */
public final class WorkTimes {
    private static final int MAX_KINDS = 64;
    // Fewer durations say too little about a kind.
    private static final int MIN_SAMPLES = 8;
    private static final double WEIGHT = 0.02;
    private static final int PRIOR_SAMPLES = (int) (1 / WEIGHT);
    private static final long ASSUMED_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    private final Map<WorkKind, Estimate> mKinds =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<WorkKind, Estimate> eldest) {
                    return size() > MAX_KINDS;
                }
            };

    /** Holds the estimate for one kind. */
    private static final class Estimate {
        private int mSamples;
        private double mNanos;

        Estimate(int samples, double nanos) {
            mSamples = samples;
            mNanos = nanos;
        }

        void record(double nanos) {
            mSamples = Math.min(mSamples + 1, Integer.MAX_VALUE - 1);
            mNanos += Math.max(WEIGHT, 1.0 / mSamples) * (nanos - mNanos);
        }
    }

    /**
     * Records the duration of a statement of a kind.
     *
     * @param prior the time from which to start if the kind is unknown; empty to start from the
     *     duration
     */
    void record(WorkKind kind, double nanos, Optional<Double> prior) {
        mKinds.computeIfAbsent(
                        kind,
                        key ->
                                prior.map(known -> new Estimate(PRIOR_SAMPLES, known))
                                        .orElseGet(() -> new Estimate(0, nanos)))
                .record(nanos);
    }

    /** Returns the time for a kind, in nanoseconds; empty while too few durations are known. */
    Optional<Double> nanos(WorkKind kind) {
        return Optional.ofNullable(mKinds.get(kind))
                .filter(estimate -> estimate.mSamples >= MIN_SAMPLES)
                .map(estimate -> estimate.mNanos);
    }

    /** Returns the time for a kind, in nanoseconds, or what is likely when little is known. */
    double nanosOrLikely(WorkKind kind) {
        Estimate estimate = mKinds.get(kind);
        return estimate == null ? ASSUMED_NANOS : estimate.mNanos;
    }

    /** Returns whether any duration of a kind is known. */
    boolean isKnown(WorkKind kind) {
        return mKinds.containsKey(kind);
    }

    /** Returns the times of all kinds, in nanoseconds. */
    Map<WorkKind, Double> all() {
        Map<WorkKind, Double> times = new LinkedHashMap<>();
        mKinds.forEach((kind, estimate) -> times.put(kind, estimate.mNanos));
        return times;
    }
}
