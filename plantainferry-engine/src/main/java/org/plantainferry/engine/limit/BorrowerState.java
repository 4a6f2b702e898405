package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Tracks the deposits and grants of one borrower for one workspace, as known by its allocator. */
final class BorrowerState {
    private static final long ACTIVE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    private static final long RECALL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private record OutstandingGrant(
            long nonce, double ratePerSecond, double capacity, double tokens, long expiryNanos) {}

    private final List<Long> mDepositExpiries = new ArrayList<>();

    // Ordered from oldest to newest; the borrower uses one of them and never returns to an earlier
    // one.
    private final List<OutstandingGrant> mGrants = new ArrayList<>();
    private double mDemandPerSecond;
    private boolean mHasWaitingRequests;
    private long mLastRequestNanos;
    private boolean mWasRecalled;
    private long mRecalledNanos;

    void recordRequest(long nowNanos, ShareRequest.Share share) {
        mLastRequestNanos = nowNanos;
        mDemandPerSecond = Math.max(0, share.demandPerSecond());
        mHasWaitingRequests = share.waiting() > 0;
    }

    long lastRequestNanos() {
        return mLastRequestNanos;
    }

    double demandPerSecond() {
        return mDemandPerSecond;
    }

    boolean hasWaitingRequests() {
        return mHasWaitingRequests;
    }

    boolean isActive(long nowNanos) {
        return nowNanos - mLastRequestNanos < ACTIVE_PERIOD_NANOS
                && (mHasWaitingRequests || (mDemandPerSecond > 0 && !hasTrafficEnded(nowNanos)));
    }

    /** Returns whether a borrower without a grant has been silent for too long for its demand. */
    private boolean hasTrafficEnded(long nowNanos) {
        double seconds = (nowNanos - mLastRequestNanos) / ShareTiming.NANOS_PER_SECOND;
        return grantedCapacity(nowNanos) == 0
                && seconds * mDemandPerSecond > ShareTiming.TRAFFIC_END_GAP_INTERVALS;
    }

    int runningDeposits(long atNanos) {
        int count = 0;
        for (long expiry : mDepositExpiries) {
            if (atNanos - expiry < 0) {
                count++;
            }
        }
        return count;
    }

    /**
     * Renews the given number of slots and adds missing ones; the deposits of other slots expire.
     */
    void deposit(int slots, long expiry) {
        mDepositExpiries.sort((left, right) -> Long.compare(right - left, 0));
        for (int i = 0; i < slots; i++) {
            if (i >= mDepositExpiries.size()) {
                mDepositExpiries.add(expiry);
            } else if (mDepositExpiries.get(i) - expiry < 0) {
                mDepositExpiries.set(i, expiry);
            }
        }
    }

    /** Renews the deposits that have not expired and returns their number. */
    int renewDeposits(long nowNanos, long expiry) {
        int count = runningDeposits(nowNanos);
        removeExpiredDeposits(nowNanos);
        mDepositExpiries.replaceAll(current -> current - expiry < 0 ? expiry : current);
        return count;
    }

    /**
     * Removes grants that the borrower has replaced or never received.
     *
     * @return the tokens of unexpired grants that the borrower never received
     */
    double acknowledge(long nowNanos, long nonce) {
        double refund = 0;
        int found = -1;
        for (int i = 0; i < mGrants.size(); i++) {
            if (mGrants.get(i).nonce == nonce) {
                found = i;
            }
        }
        if (found < 0) {
            return 0;
        }
        for (int i = found + 1; i < mGrants.size(); i++) {
            OutstandingGrant unreceived = mGrants.get(i);
            // The capacity of an expired grant became free at its expiry and has been refilled
            // since.
            refund += nowNanos - unreceived.expiryNanos < 0 ? unreceived.tokens : 0;
        }
        OutstandingGrant acknowledged = mGrants.get(found);
        mGrants.clear();
        mGrants.add(acknowledged);
        return refund;
    }

    void addGrant(long nonce, ShareAnswer.Grant grant, long nowNanos) {
        mGrants.add(
                new OutstandingGrant(
                        nonce,
                        grant.ratePerSecond(),
                        grant.capacity(),
                        grant.tokens(),
                        nowNanos + grant.validNanos()));
    }

    double grantedRate(long atNanos) {
        double rate = 0;
        for (OutstandingGrant grant : mGrants) {
            if (atNanos - grant.expiryNanos < 0) {
                rate = Math.max(rate, grant.ratePerSecond);
            }
        }
        return rate;
    }

    /** Returns the most tokens that the borrower and the grants in transit to it can hold. */
    double grantedCapacity(long atNanos) {
        double maximum = 0;
        double laterTokens = 0;
        for (int i = mGrants.size() - 1; i >= 0; i--) {
            OutstandingGrant grant = mGrants.get(i);
            if (atNanos - grant.expiryNanos < 0) {
                maximum = Math.max(maximum, grant.capacity + laterTokens);
                laterTokens += grant.tokens;
            }
        }
        return maximum;
    }

    /** Adds the times in an open interval at which a deposit or a grant expires. */
    void addExpiryTimes(long afterNanos, long untilNanos, List<Long> expiryTimes) {
        for (long expiry : mDepositExpiries) {
            addExpiryTime(expiry, afterNanos, untilNanos, expiryTimes);
        }
        for (OutstandingGrant grant : mGrants) {
            addExpiryTime(grant.expiryNanos, afterNanos, untilNanos, expiryTimes);
        }
    }

    private static void addExpiryTime(
            long expiry, long afterNanos, long untilNanos, List<Long> expiryTimes) {
        if (expiry - afterNanos > 0 && expiry - untilNanos < 0) {
            expiryTimes.add(expiry);
        }
    }

    private void removeExpiredDeposits(long nowNanos) {
        mDepositExpiries.removeIf(expiry -> nowNanos - expiry >= 0);
    }

    void removeExpired(long nowNanos) {
        removeExpiredDeposits(nowNanos);
        // Retains an expired grant while an older one is valid: if the borrower acknowledges it
        // after its expiry, the older one has been replaced nevertheless.
        while (!mGrants.isEmpty() && nowNanos - mGrants.get(0).expiryNanos >= 0) {
            mGrants.remove(0);
        }
    }

    boolean isEmpty() {
        return mGrants.isEmpty() && mDepositExpiries.isEmpty();
    }

    /** Returns the shortest remaining lifetime of all deposits, but at most the given one. */
    long shortestDepositLifetime(long nowNanos, long longest) {
        long shortest = longest;
        for (long expiry : mDepositExpiries) {
            shortest = Math.min(shortest, expiry - nowNanos);
        }
        return shortest;
    }

    /** Records a recall, or returns false if the previous one is too recent. */
    boolean tryRecall(long nowNanos) {
        if (mWasRecalled && nowNanos - mRecalledNanos < RECALL_INTERVAL_NANOS) {
            return false;
        }
        mWasRecalled = true;
        mRecalledNanos = nowNanos;
        return true;
    }

    boolean isRecalled(long nowNanos) {
        return mWasRecalled && nowNanos - mRecalledNanos < RECALL_INTERVAL_NANOS;
    }
}
