package org.plantainferry.engine.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;

/**
 * Learns from the answers of one server how many statements it takes well.
 *
 * <p>The expected duration of a statement is the product of three estimates: the time for its kind
 * of work, the slowness of the server, and the queueing there. The first two are learned from
 * statements that were sent while little was in progress, so that they exclude waiting. Statements
 * that take longer than the two explain have waited. The limit grows while it is used up and
 * nothing waits, and shrinks when more than one or two statements wait.
 *
 * <p>While the limit is used up for long, it is lowered from time to time for a moment, so that the
 * time without waiting stays known. Where several instances send to the server, a longer duration
 * counts for less, because it may be due to their work.
 *
 * @since 0.4
 */
public final class LearnedServerRoom implements ServerRoom {
    private static final int MAX_LIMIT_PER_SLOT = 3;
    private static final double BUSY_SHRINK_FACTOR = 0.7;
    private static final double MIN_SHRINK_FACTOR = 0.5;
    private static final double MAX_SHRINK_FACTOR = 0.9;
    private static final double GROWTH_STEP = 0.5;
    private static final double MIN_GROWTH_QUEUEING = 1.25;
    private static final double MIN_SHRINK_QUEUEING = 1.5;
    // The numbers of statements that may wait at the server, besides those in its slots.
    private static final double GROWTH_WAITING = 1;
    private static final double SHRINK_WAITING = 2;
    private static final double SLOWNESS_WEIGHT = 0.05;
    private static final double QUEUEING_WEIGHT = 0.08;
    // After a pause each answer counts for more, because few arrive.
    private static final double PAUSE_DOWN_WEIGHT = 0.4;
    private static final double MAX_RATIO = 4;
    private static final double MAX_SLOWNESS = 64;
    // Below this, also statements beside many others are faster than the estimate explains.
    private static final double FASTER_QUEUEING = 0.75;
    private static final double CHANGE_FACTOR = 2;
    private static final int MEASURING_SAMPLES = 8;
    private static final double MEASURING_WEIGHT = 0.15;
    private static final double UNCERTAIN_FRACTION = 0.35;
    private static final long MAX_UNMEASURED_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    private static final long MAX_MEASURING_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long NO_GROWTH_AFTER_BUSY_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long MIN_SHRINK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final double QUEUEING_FADING_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final double SLOWNESS_FADING_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long MIN_CHANGE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final WorkTimes mGroupTimes;
    private final WorkTimes mTimes = new WorkTimes();
    private final OpenStatements mOpen = new OpenStatements();
    private final AdaptiveLimit mLimit;
    private final int mSlots;
    private final int mShare;
    private double mSlowness = 1;
    private double mQueueing = 1;
    private long mLastUsedNanos;
    private boolean mFirstAfterPause;
    private int mMeasuringSamples;
    private long mMeasuringSinceNanos;
    private long mMeasuredNanos;
    private long mNoGrowthUntilNanos;
    private int mReportedLimit;
    private double mReportedSlowness = 1;
    private long mReportedNanos;

    /**
     * Creates the room of a server about which nothing is known yet.
     *
     * @param slots the number of statements that the server says it runs concurrently
     * @param share how many of them this instance may use while it knows nothing; at least 1
     * @param groupTimes the times for kinds of work that all servers of the group share
     */
    public LearnedServerRoom(int slots, int share, WorkTimes groupTimes, long nowNanos) {
        Preconditions.condition(share >= 1, "share must be at least 1: " + share);
        mGroupTimes = Preconditions.notNull(groupTimes, "groupTimes");
        mSlots = Math.max(1, slots);
        mShare = Math.min(share, mSlots);
        int maximum = (int) Math.min(Integer.MAX_VALUE, (long) MAX_LIMIT_PER_SLOT * mSlots);
        mLimit = new AdaptiveLimit(mShare, maximum);
        mLastUsedNanos = nowNanos;
        mMeasuredNanos = nowNanos;
        mNoGrowthUntilNanos = nowNanos;
        mReportedLimit = mLimit.value();
        mReportedNanos = nowNanos;
    }

    @Override
    public int limit(long nowNanos) {
        return isMeasuring(nowNanos) ? Math.min(uncrowded(), mLimit.value()) : mLimit.value();
    }

    @Override
    public int inFlight() {
        return mOpen.size();
    }

    @Override
    public void onSent(WorkKind kind, long nowNanos) {
        mFirstAfterPause |= isStale(nowNanos);
        mOpen.add(nowNanos);
        mLastUsedNanos = nowNanos;
    }

    @Override
    public void onEnded(WorkKind kind, Outcome outcome, long elapsedNanos, long nowNanos) {
        boolean isFull = mOpen.size() >= mLimit.value();
        int concurrency = mOpen.remove(nowNanos - elapsedNanos);
        mLastUsedNanos = nowNanos;
        if (outcome == Outcome.BUSY) {
            mLimit.shrink(BUSY_SHRINK_FACTOR, MIN_SHRINK_INTERVAL_NANOS, nowNanos);
            mNoGrowthUntilNanos = nowNanos + NO_GROWTH_AFTER_BUSY_NANOS;
        }
        if (outcome != Outcome.ANSWERED) {
            return;
        }
        // A commit also waits for other servers, which says nothing about this one.
        boolean isOwnWork = kind.step() != WorkKind.Step.COMMIT;
        Optional<Double> known = isOwnWork ? knownNanos(kind) : Optional.empty();
        known.ifPresent(nanos -> learnSpeed(elapsedNanos / nanos, concurrency, nowNanos));
        learnKind(kind, elapsedNanos, isCrowded(concurrency));
        if (isOwnWork) {
            adapt(isFull, concurrency, elapsedNanos, nowNanos);
        }
    }

    private int uncrowded() {
        return Math.max(1, mShare / 2);
    }

    private boolean isCrowded(int concurrency) {
        return concurrency > uncrowded();
    }

    /** Returns the time for a kind without waiting; empty while too little is known about it. */
    private Optional<Double> knownNanos(WorkKind kind) {
        return mTimes.nanos(kind)
                .or(() -> mGroupTimes.nanos(kind))
                .map(nanos -> Math.max(1, nanos * mSlowness));
    }

    private void learnSpeed(double ratio, int concurrency, long nowNanos) {
        double bounded = Math.min(MAX_RATIO, ratio);
        double downWeight = mFirstAfterPause ? PAUSE_DOWN_WEIGHT : QUEUEING_WEIGHT;
        mFirstAfterPause = false;
        if (mMeasuringSamples == 0) {
            double weight = bounded > mQueueing ? QUEUEING_WEIGHT : downWeight;
            mQueueing += weight * (bounded - mQueueing);
        }
        boolean isMuchFaster = bounded < 1 && mQueueing < FASTER_QUEUEING;
        if (isCrowded(concurrency) && !isMuchFaster) {
            return;
        }
        double usual = mMeasuringSamples > 0 ? MEASURING_WEIGHT : SLOWNESS_WEIGHT;
        // Beside other instances, what looks like slowness may be their work.
        boolean isUncertain = bounded > 1 && mShare < mSlots;
        double factor = 1 + (isUncertain ? usual * UNCERTAIN_FRACTION : usual) * (bounded - 1);
        mSlowness = Math.max(1 / MAX_SLOWNESS, Math.min(MAX_SLOWNESS, mSlowness * factor));
        mQueueing /= factor;
        if (!isCrowded(concurrency)) {
            mMeasuredNanos = nowNanos;
            mMeasuringSamples = Math.max(0, mMeasuringSamples - 1);
        }
    }

    private void learnKind(WorkKind kind, long elapsedNanos, boolean isCrowded) {
        double waiting = isCrowded ? Math.max(1, mQueueing) : 1;
        double nanos = elapsedNanos / (mSlowness * waiting);
        if (!isCrowded || mTimes.nanos(kind).isEmpty()) {
            mTimes.record(kind, nanos, mGroupTimes.nanos(kind));
            mGroupTimes.record(kind, nanos, Optional.empty());
        }
    }

    private void adapt(boolean isFull, int concurrency, long elapsedNanos, long nowNanos) {
        if (isMeasuring(nowNanos)) {
            return;
        }
        mMeasuringSamples = 0;
        double shrinkAbove = Math.max(MIN_SHRINK_QUEUEING, 1 + SHRINK_WAITING / mSlots);
        double growBelow = Math.max(MIN_GROWTH_QUEUEING, 1 + GROWTH_WAITING / mSlots);
        // A limit that is hardly used does not cause the wait.
        boolean isUsed = 2 * concurrency > mLimit.value();
        if (mQueueing > shrinkAbove && isUsed) {
            double factor = Math.min(MAX_SHRINK_FACTOR, shrinkAbove / mQueueing);
            // Answers to statements that were sent before a change do not reflect it.
            long interval = Math.max(MIN_SHRINK_INTERVAL_NANOS, elapsedNanos);
            mLimit.shrink(Math.max(MIN_SHRINK_FACTOR, factor), interval, nowNanos);
        } else if (isFull && mQueueing < growBelow && nowNanos - mNoGrowthUntilNanos >= 0) {
            // Up to the declared slots, a limit that suffices is found soon.
            mLimit.grow(mLimit.value() < mSlots ? mLimit.value() : GROWTH_STEP);
        }
        if (isFull && nowNanos - mMeasuredNanos >= MAX_UNMEASURED_NANOS) {
            mMeasuringSamples = MEASURING_SAMPLES;
            mMeasuringSinceNanos = nowNanos;
            mMeasuredNanos = nowNanos;
        }
    }

    /**
     * Returns whether the limit is low for a moment, so that some statements are answered without
     * waiting behind others of this instance.
     */
    private boolean isMeasuring(long nowNanos) {
        return mMeasuringSamples > 0 && nowNanos - mMeasuringSinceNanos < MAX_MEASURING_NANOS;
    }

    @Override
    public long serviceNanos(WorkKind kind) {
        return Math.max(1, (long) (workNanos(kind) * mSlowness));
    }

    private double workNanos(WorkKind kind) {
        return mTimes.isKnown(kind) ? mTimes.nanosOrLikely(kind) : mGroupTimes.nanosOrLikely(kind);
    }

    @Override
    public long expectedNanos(WorkKind kind, long nowNanos) {
        // Without new answers, a wait that was seen may have ended, and later also the slowness.
        double age = Math.max(0, nowNanos - mLastUsedNanos);
        double queueing = 1 + (mQueueing - 1) * Math.exp(-age / QUEUEING_FADING_NANOS);
        double slowness = Math.pow(mSlowness, Math.exp(-age / SLOWNESS_FADING_NANOS));
        return (long) (workNanos(kind) * slowness * queueing);
    }

    @Override
    public boolean isStale(long nowNanos) {
        return mOpen.size() == 0 && nowNanos - mLastUsedNanos >= STALE_NANOS;
    }

    @Override
    public Optional<ServerCapacity> snapshot() {
        Map<WorkKind, Long> times = new HashMap<>();
        mTimes.all().forEach((kind, nanos) -> times.put(kind, (long) (nanos * mSlowness)));
        return Optional.of(
                new ServerCapacity(mLimit.value(), mOpen.size(), mSlowness, mQueueing, times));
    }

    @Override
    public Optional<ServerCapacity> takeChange(long nowNanos) {
        boolean hasChanged =
                isFarFrom(mLimit.value(), mReportedLimit)
                        || isFarFrom(mSlowness, mReportedSlowness);
        if (!hasChanged || nowNanos - mReportedNanos < MIN_CHANGE_INTERVAL_NANOS) {
            return Optional.empty();
        }
        mReportedLimit = mLimit.value();
        mReportedSlowness = mSlowness;
        mReportedNanos = nowNanos;
        return snapshot();
    }

    private static boolean isFarFrom(double value, double reported) {
        return value >= reported * CHANGE_FACTOR || value * CHANGE_FACTOR <= reported;
    }
}
