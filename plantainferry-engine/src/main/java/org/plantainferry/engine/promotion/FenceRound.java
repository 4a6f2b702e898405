package org.plantainferry.engine.promotion;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides when no instance uses a primary any more, so that another server may be ordered to lead.
 *
 * <p>An instance that has confirmed the notice uses the primary no more. Once a majority has
 * confirmed, one that has not can renew its {@link QuorumLease} only by learning of the
 * replacement, so a lease after the last confirmation it has lost it. Without a majority this
 * instance may itself be cut off, and the replacement is given up. Times are monotonic nanoseconds.
 * Used by one thread.
 *
 * @since 0.3
 */
public final class FenceRound {
    /** Says what the replacing instance does next. */
    public enum Decision {
        /** Goes on telling the instances that have not confirmed. */
        WAIT,
        /** Orders another server to lead. */
        ORDER,
        /** Gives the replacement up. */
        GIVE_UP
    }

    private static final long LEASE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

    private final Set<String> mOthers;
    private final long mStartedNanos;
    private final Set<String> mConfirmed = new HashSet<>();
    private long mLastConfirmedNanos;

    /**
     * Begins a round.
     *
     * @param others the instances besides this one
     */
    public FenceRound(Set<String> others, long nowNanos) {
        mOthers = Set.copyOf(others);
        mStartedNanos = nowNanos;
        mLastConfirmedNanos = nowNanos;
    }

    /** Notes that an instance uses the primary no more; a second confirmation changes nothing. */
    public void onConfirmed(String instance, long nowNanos) {
        if (mOthers.contains(instance) && mConfirmed.add(instance) && isMajorityNeeded()) {
            mLastConfirmedNanos = nowNanos;
        }
    }

    /** Returns whether the newest confirmation was still needed for the majority. */
    private boolean isMajorityNeeded() {
        return mConfirmed.size() <= (mOthers.size() + 1) / 2;
    }

    /** Returns the instances that have not confirmed. */
    public Set<String> unconfirmed() {
        Set<String> missing = new HashSet<>(mOthers);
        missing.removeAll(mConfirmed);
        return missing;
    }

    /** Returns what to do now. */
    public Decision decide(long nowNanos) {
        if (mConfirmed.size() == mOthers.size()) {
            return Decision.ORDER;
        }
        boolean hasMajority = mConfirmed.size() + 1 > (mOthers.size() + 1) / 2;
        boolean isLeaseOver =
                nowNanos - mLastConfirmedNanos >= QuorumLease.LEASE_NANOS + LEASE_MARGIN_NANOS;
        if (isLeaseOver && hasMajority) {
            return Decision.ORDER;
        }
        return nowNanos - mStartedNanos >= TIMEOUT_NANOS ? Decision.GIVE_UP : Decision.WAIT;
    }
}
