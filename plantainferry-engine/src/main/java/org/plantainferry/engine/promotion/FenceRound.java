package org.plantainferry.engine.promotion;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides when no instance uses a primary any longer, so that another server may be promoted.
 *
 * <p>An instance that has confirmed the notice no longer uses the primary. Once a majority has
 * confirmed, any other instance can renew its {@link QuorumLease} only by learning of the
 * replacement, so its lease has expired one lease duration after the last confirmation that the
 * majority needed. Without a majority, this instance may itself be partitioned, and the replacement
 * is abandoned. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.3
 */
public final class FenceRound {
    /** Lists the next steps of the replacing instance. */
    public enum Decision {
        /** Keep notifying the instances that have not confirmed. */
        WAIT,
        /** Order another server to become the primary. */
        ORDER,
        /** Abandon the replacement. */
        GIVE_UP
    }

    private static final long LEASE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    // The other instances release the group by themselves some seconds later, also if this one was
    // suspended and learns of their confirmations late.
    private static final long LATEST_ORDER_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Set<String> mOthers;
    private final long mStartedNanos;
    private final Set<String> mConfirmed = new HashSet<>();
    private long mLastConfirmedNanos;

    /**
     * Starts a round.
     *
     * @param others all instances except this one
     */
    public FenceRound(Set<String> others, long nowNanos) {
        mOthers = Set.copyOf(others);
        mStartedNanos = nowNanos;
        mLastConfirmedNanos = nowNanos;
    }

    /**
     * Records that an instance no longer uses the primary.
     *
     * <p>Repeated confirmations and those of unknown instances have no effect.
     */
    public void onConfirmed(String instance, long nowNanos) {
        if (mOthers.contains(instance) && mConfirmed.add(instance) && isMajorityNeeded()) {
            mLastConfirmedNanos = nowNanos;
        }
    }

    /** Returns whether the latest confirmation was still needed for a majority. */
    private boolean isMajorityNeeded() {
        return mConfirmed.size() <= (mOthers.size() + 1) / 2;
    }

    /** Returns the instances that have not confirmed. */
    public Set<String> unconfirmed() {
        Set<String> missing = new HashSet<>(mOthers);
        missing.removeAll(mConfirmed);
        return missing;
    }

    /** Returns the next step. */
    public Decision decide(long nowNanos) {
        if (nowNanos - mStartedNanos >= LATEST_ORDER_NANOS) {
            return Decision.GIVE_UP;
        }
        if (mConfirmed.size() == mOthers.size()) {
            return Decision.ORDER;
        }
        boolean hasMajority = mConfirmed.size() + 1 > (mOthers.size() + 1) / 2;
        boolean areLeasesExpired =
                nowNanos - mLastConfirmedNanos >= QuorumLease.LEASE_NANOS + LEASE_MARGIN_NANOS;
        if (areLeasesExpired && hasMajority) {
            return Decision.ORDER;
        }
        return nowNanos - mStartedNanos >= TIMEOUT_NANOS ? Decision.GIVE_UP : Decision.WAIT;
    }
}
