package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Keeps one borrower's deposits and grants of one workspace, as its allocator sees them. */
final class BorrowerState {
    private static final long ACTIVE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    private static final long RECALL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private record OutstandingGrant(
            long nonce, double ratePerSecond, double capacity, double tokens, long expiryNanos) {}

    private final List<Long> mDepositExpiries = new ArrayList<>();

    // The oldest first; the borrower uses one of them, and never goes back to an earlier one.
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

    /** Returns whether a borrower without a grant has been silent for longer than its traffic. */
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

    /** Prolongs the first slots of the deposit; slots that are left out run out by themselves. */
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

    /** Prolongs the deposits that still run and returns their number. */
    int renewDeposits(long nowNanos, long expiry) {
        int count = runningDeposits(nowNanos);
        removeExpiredDeposits(nowNanos);
        mDepositExpiries.replaceAll(each -> each - expiry < 0 ? expiry : each);
        return count;
    }

    /**
     * Drops grants that the borrower has replaced or never received.
     *
     * @return the tokens of grants that it never received
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
            OutstandingGrant lost = mGrants.get(i);
            // The capacity of an ended grant was free since its end, and has been refilled.
            refund += nowNanos - lost.expiryNanos < 0 ? lost.tokens : 0;
        }
        OutstandingGrant applied = mGrants.get(found);
        mGrants.clear();
        mGrants.add(applied);
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
        for (OutstandingGrant each : mGrants) {
            if (atNanos - each.expiryNanos < 0) {
                rate = Math.max(rate, each.ratePerSecond);
            }
        }
        return rate;
    }

    /** Returns the most tokens that the borrower and grants on their way to it can hold. */
    double grantedCapacity(long atNanos) {
        double most = 0;
        double later = 0;
        for (int i = mGrants.size() - 1; i >= 0; i--) {
            OutstandingGrant each = mGrants.get(i);
            if (atNanos - each.expiryNanos < 0) {
                most = Math.max(most, each.capacity + later);
                later += each.tokens;
            }
        }
        return most;
    }

    /** Adds the times after a moment at which a deposit or a grant ends. */
    void addExpiryTimes(long afterNanos, long untilNanos, List<Long> ends) {
        for (long expiry : mDepositExpiries) {
            addExpiryTime(expiry, afterNanos, untilNanos, ends);
        }
        for (OutstandingGrant each : mGrants) {
            addExpiryTime(each.expiryNanos, afterNanos, untilNanos, ends);
        }
    }

    private static void addExpiryTime(long end, long afterNanos, long untilNanos, List<Long> ends) {
        if (end - afterNanos > 0 && end - untilNanos < 0) {
            ends.add(end);
        }
    }

    private void removeExpiredDeposits(long nowNanos) {
        mDepositExpiries.removeIf(expiry -> nowNanos - expiry >= 0);
    }

    void removeExpired(long nowNanos) {
        removeExpiredDeposits(nowNanos);
        // A short grant is kept while an older one runs: when it is acknowledged after its end, it
        // still shows that the borrower has replaced the older one.
        while (!mGrants.isEmpty() && nowNanos - mGrants.get(0).expiryNanos >= 0) {
            mGrants.remove(0);
        }
    }

    boolean isEmpty() {
        return mGrants.isEmpty() && mDepositExpiries.isEmpty();
    }

    /** Returns the shortest remaining lifetime of a deposit, or the given longest one. */
    long shortestDepositLifetime(long nowNanos, long longest) {
        long shortest = longest;
        for (long expiry : mDepositExpiries) {
            shortest = Math.min(shortest, expiry - nowNanos);
        }
        return shortest;
    }

    /** Returns whether the borrower may be recalled now, and notes that it was. */
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
