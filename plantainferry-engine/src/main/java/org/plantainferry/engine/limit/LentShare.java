package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Keeps one borrower's deposits and grants of one workspace, as its allocator sees them. */
final class LentShare {
    private static final long ACTIVE = TimeUnit.MILLISECONDS.toNanos(1_200);
    private static final long RECALL_PAUSE = TimeUnit.MILLISECONDS.toNanos(20);

    private record Outstanding(
            long nonce, double rate, double capacity, double tokens, long expiry) {}

    private final List<Long> mDeposits = new ArrayList<>();

    // The oldest first; the borrower uses one of them, and never goes back to an earlier one.
    private final List<Outstanding> mOutstanding = new ArrayList<>();
    private double mDemand;
    private boolean mStarving;
    private long mSeen;
    private boolean mRecalledOnce;
    private long mRecalled;

    void seen(long nowNanos, ShareRequest.Share share) {
        mSeen = nowNanos;
        mDemand = Math.max(0, share.demandPerSecond());
        mStarving = share.waiting() > 0;
    }

    long lastSeen() {
        return mSeen;
    }

    double demand() {
        return mDemand;
    }

    boolean isStarving() {
        return mStarving;
    }

    boolean isActive(long nowNanos) {
        return nowNanos - mSeen < ACTIVE
                && (mStarving || (mDemand > 0 && !hasTrafficEnded(nowNanos)));
    }

    /** Returns whether a borrower without a grant has been silent for longer than its traffic. */
    private boolean hasTrafficEnded(long nowNanos) {
        double seconds = (nowNanos - mSeen) / ShareTiming.NANOS_PER_SECOND;
        return lentCapacity(nowNanos) == 0 && seconds * mDemand > ShareTiming.ENDING_GAP;
    }

    int deposits(long atNanos) {
        int count = 0;
        for (long expiry : mDeposits) {
            if (atNanos - expiry < 0) {
                count++;
            }
        }
        return count;
    }

    /** Prolongs the first slots of the deposit; slots that are left out run out by themselves. */
    void deposit(int slots, long expiry) {
        mDeposits.sort((left, right) -> Long.compare(right - left, 0));
        for (int i = 0; i < slots; i++) {
            if (i >= mDeposits.size()) {
                mDeposits.add(expiry);
            } else if (mDeposits.get(i) - expiry < 0) {
                mDeposits.set(i, expiry);
            }
        }
    }

    /** Prolongs the deposits that still run and returns their number. */
    int prolong(long nowNanos, long expiry) {
        int count = deposits(nowNanos);
        forgetEndedDeposits(nowNanos);
        mDeposits.replaceAll(each -> each - expiry < 0 ? expiry : each);
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
        for (int i = 0; i < mOutstanding.size(); i++) {
            if (mOutstanding.get(i).nonce == nonce) {
                found = i;
            }
        }
        if (found < 0) {
            return 0;
        }
        for (int i = found + 1; i < mOutstanding.size(); i++) {
            Outstanding lost = mOutstanding.get(i);
            // The capacity of an ended grant was free since its end, and has been refilled.
            refund += nowNanos - lost.expiry < 0 ? lost.tokens : 0;
        }
        Outstanding applied = mOutstanding.get(found);
        mOutstanding.clear();
        mOutstanding.add(applied);
        return refund;
    }

    void lend(long nonce, ShareAnswer.Grant grant, long nowNanos) {
        mOutstanding.add(
                new Outstanding(
                        nonce,
                        grant.ratePerSecond(),
                        grant.capacity(),
                        grant.tokens(),
                        nowNanos + grant.validNanos()));
    }

    double lentRate(long atNanos) {
        double rate = 0;
        for (Outstanding each : mOutstanding) {
            if (atNanos - each.expiry < 0) {
                rate = Math.max(rate, each.rate);
            }
        }
        return rate;
    }

    /** Returns the most tokens that the borrower and grants on their way to it can hold. */
    double lentCapacity(long atNanos) {
        double most = 0;
        double later = 0;
        for (int i = mOutstanding.size() - 1; i >= 0; i--) {
            Outstanding each = mOutstanding.get(i);
            if (atNanos - each.expiry < 0) {
                most = Math.max(most, each.capacity + later);
                later += each.tokens;
            }
        }
        return most;
    }

    /** Adds the times after a moment at which a deposit or a grant ends. */
    void addEnds(long afterNanos, long untilNanos, List<Long> ends) {
        for (long expiry : mDeposits) {
            addEnd(expiry, afterNanos, untilNanos, ends);
        }
        for (Outstanding each : mOutstanding) {
            addEnd(each.expiry, afterNanos, untilNanos, ends);
        }
    }

    private static void addEnd(long end, long afterNanos, long untilNanos, List<Long> ends) {
        if (end - afterNanos > 0 && end - untilNanos < 0) {
            ends.add(end);
        }
    }

    private void forgetEndedDeposits(long nowNanos) {
        mDeposits.removeIf(expiry -> nowNanos - expiry >= 0);
    }

    void forgetEnded(long nowNanos) {
        forgetEndedDeposits(nowNanos);
        // A short grant is kept while an older one runs: when it is acknowledged after its end, it
        // still shows that the borrower has replaced the older one.
        while (!mOutstanding.isEmpty() && nowNanos - mOutstanding.get(0).expiry >= 0) {
            mOutstanding.remove(0);
        }
    }

    boolean isEmpty() {
        return mOutstanding.isEmpty() && mDeposits.isEmpty();
    }

    /** Returns the shortest remaining lifetime of a deposit, or the given longest one. */
    long shortestDeposit(long nowNanos, long longest) {
        long shortest = longest;
        for (long expiry : mDeposits) {
            shortest = Math.min(shortest, expiry - nowNanos);
        }
        return shortest;
    }

    /** Returns whether the borrower may be recalled now, and notes that it was. */
    boolean recall(long nowNanos) {
        if (mRecalledOnce && nowNanos - mRecalled < RECALL_PAUSE) {
            return false;
        }
        mRecalledOnce = true;
        mRecalled = nowNanos;
        return true;
    }

    boolean isRecalled(long nowNanos) {
        return mRecalledOnce && nowNanos - mRecalled < RECALL_PAUSE;
    }
}
