package org.plantainferry.engine.limit;

import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;

/**
 * Counts the tokens of one workspace on one instance.
 *
 * <p>It has two parts: the permanent part comes from share slots that this instance holds and has
 * not deposited, and the grant was lent by an allocator. Both expire unless the control thread
 * renews them, so that a process that was paused stops spending by itself. Times are monotonic
 * nanoseconds; an older time than the latest one counts as the latest. All methods may be called
 * from any thread.
 *
 * @since 0.1
 */
public final class WorkspaceTokenBucket {
    private static final Acquisition.Granted GRANTED = new Acquisition.Granted();
    private static final long FIRST_BACKOFF = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long LONGEST_BACKOFF = TimeUnit.MILLISECONDS.toNanos(320);

    // Tokens that are on their way between instances are missing for some milliseconds; a short
    // queue covers that, and is short enough for an overloaded workspace to be refused soon.
    private static final long LONGEST_QUEUE = TimeUnit.MILLISECONDS.toNanos(90);
    private static final long RETRY_AFTER_UNKNOWN = TimeUnit.MILLISECONDS.toNanos(500);

    // Sums of binary fractions may miss a whole token by a rounding error.
    private static final double ONE_TOKEN = 1 - 1e-9;

    private final DemandMeter mDemand;
    private double mPermanentRate;
    private double mPermanentCapacity;
    private double mPermanentTokens;
    private long mPermanentUntil;
    private double mGrantRate;
    private double mGrantCapacity;
    private double mGrantTokens;
    private long mGrantUntil;
    private long mNow;
    private long mWaitUntil;
    private long mNextAsk;
    private long mPromisedUntil;
    private long mBackoff = FIRST_BACKOFF;
    private volatile boolean mAskWanted;
    private int mWaiting;
    private boolean mAnswered;

    /** Creates an empty bucket. */
    public WorkspaceTokenBucket(long nowNanos) {
        mNow = nowNanos;
        mPermanentUntil = nowNanos;
        mGrantUntil = nowNanos;
        mWaitUntil = nowNanos;
        mNextAsk = nowNanos;
        mPromisedUntil = nowNanos;
        mDemand = new DemandMeter(nowNanos);
    }

    /** Spends a token for a request that arrived now, if there is one. */
    public synchronized Acquisition tryAcquire(long nowNanos) {
        advance(nowNanos);
        mDemand.count(mNow);
        return acquire(true);
    }

    /** Tries again for a request that was told to wait; it does not count as demand again. */
    public synchronized Acquisition retryAcquire(long nowNanos) {
        advance(nowNanos);
        return acquire(false);
    }

    private Acquisition acquire(boolean first) {
        if (mPermanentTokens + mGrantTokens >= ONE_TOKEN) {
            double fromGrant = Math.min(1, mGrantTokens);
            mGrantTokens -= fromGrant;
            mPermanentTokens = Math.max(0, mPermanentTokens - (1 - fromGrant));
            return GRANTED;
        }
        if (mNow - mWaitUntil < 0) {
            mWaiting += first ? 1 : 0;
            return new Acquisition.Wait(mWaitUntil - mNow);
        }
        if (mNow - mNextAsk >= 0) {
            mAskWanted = true;
            mWaiting = 1;
            mWaitUntil = mNow + longestWait();
            // The ask may never be answered; callers after it are refused for a while.
            mNextAsk = mWaitUntil + mBackoff;
            return new Acquisition.Wait(longestWait());
        }
        return waitForDueToken(first);
    }

    private long longestWait() {
        return mAnswered ? ShareTiming.LONGEST_WAIT : ShareTiming.LONGEST_FIRST_WAIT;
    }

    /**
     * Returns how long a caller may be held, in nanoseconds.
     *
     * <p>Before the first answer of an allocator nothing says that the rate is used up, so a caller
     * is held longer rather than refused.
     */
    public synchronized long maximumWaitNanos() {
        return longestWait();
    }

    /** Queues the request when a token is due soon, behind those that wait already. */
    private Acquisition waitForDueToken(boolean first) {
        double rate = mPermanentRate + mGrantRate;
        // Each answer wakes all callers; if a repeated try took a further place, the queue would
        // count the same callers several times and refuse others.
        if (!first && rate > 0 && mPromisedUntil - mNow > 0) {
            return new Acquisition.Wait(mPromisedUntil - mNow + 1);
        }
        if (rate > 0) {
            double missing = 1 - mPermanentTokens - mGrantTokens;
            long firstDue = mNow + (long) (missing / rate * ShareTiming.NANOS_PER_SECOND);
            long nextDue = mPromisedUntil + (long) (ShareTiming.NANOS_PER_SECOND / rate);
            long due = nextDue - firstDue > 0 ? nextDue : firstDue;
            if (due - mNow <= LONGEST_QUEUE) {
                mPromisedUntil = due;
                return new Acquisition.Wait(due - mNow + 1);
            }
        }
        return new Acquisition.Refused(retryAfterMillis());
    }

    private long retryAfterMillis() {
        double rate = mPermanentRate + mGrantRate;
        double nanos = RETRY_AFTER_UNKNOWN;
        if (rate > 0) {
            double missing = 1 - mPermanentTokens - mGrantTokens;
            nanos = Math.max(0, missing) / rate * ShareTiming.NANOS_PER_SECOND;
        }
        return Math.max(1, (long) Math.ceil(nanos / 1e6));
    }

    private void advance(long nowNanos) {
        if (nowNanos - mNow <= 0) {
            return;
        }
        if (nowNanos - mPermanentUntil >= 0) {
            mPermanentRate = 0;
            mPermanentCapacity = 0;
            mPermanentTokens = 0;
        }
        if (nowNanos - mGrantUntil >= 0) {
            mGrantRate = 0;
            mGrantCapacity = 0;
            mGrantTokens = 0;
        }
        double seconds = (nowNanos - mNow) / ShareTiming.NANOS_PER_SECOND;
        mPermanentTokens =
                Math.min(mPermanentCapacity, mPermanentTokens + mPermanentRate * seconds);
        mGrantTokens = Math.min(mGrantCapacity, mGrantTokens + mGrantRate * seconds);
        mNow = nowNanos;
    }

    /**
     * Sets the permanent part; tokens above the new capacity are taken out.
     *
     * @param untilNanos the time at which the part lapses unless this method is called again
     * @return the tokens taken out
     */
    public synchronized double setOwnLimit(
            long nowNanos, double ratePerSecond, double capacity, long untilNanos) {
        Preconditions.condition(
                ratePerSecond >= 0 && capacity >= 0, "rate and capacity must not be negative");
        advance(nowNanos);
        double removed = Math.max(0, mPermanentTokens - capacity);
        mPermanentTokens -= removed;
        mPermanentRate = ratePerSecond;
        mPermanentCapacity = capacity;
        mPermanentUntil = untilNanos;
        return removed;
    }

    /**
     * Replaces the grant; tokens of the earlier grant stay, up to the new capacity.
     *
     * @param addedTokens tokens that the allocator transfers
     * @param untilNanos the time at which the grant lapses
     * @return tokens above the new capacity, which no longer belong to this instance
     */
    public synchronized double installGrant(
            long nowNanos,
            double ratePerSecond,
            double capacity,
            double addedTokens,
            long untilNanos) {
        Preconditions.condition(
                ratePerSecond >= 0 && capacity >= 0 && addedTokens >= 0,
                "rate, capacity and tokens must not be negative");
        advance(nowNanos);
        mAnswered = true;
        if (mNow - untilNanos >= 0) {
            mGrantUntil = mNow;
            mGrantRate = 0;
            mGrantCapacity = 0;
            mGrantTokens = 0;
            return 0;
        }
        double tokens = mGrantTokens + addedTokens;
        mGrantTokens = Math.min(capacity, tokens);
        mGrantRate = ratePerSecond;
        mGrantCapacity = capacity;
        mGrantUntil = untilNanos;
        return tokens - mGrantTokens;
    }

    /**
     * Ends the wait for tokens, if there is one.
     *
     * @param fruitful whether tokens came; a fruitless ask delays the next one, longer each time
     */
    public synchronized void endTokenRequest(long nowNanos, boolean fruitful) {
        advance(nowNanos);
        if (mWaiting == 0) {
            return;
        }
        mWaitUntil = mNow;
        mAskWanted = false;
        mWaiting = 0;
        mBackoff = fruitful ? FIRST_BACKOFF : Math.min(LONGEST_BACKOFF, mBackoff * 2);
        mNextAsk = fruitful ? mNow : mNow + mBackoff;
    }

    /** Returns whether a request waits for tokens for which no ask has been sent. */
    boolean isTokenRequestWanted() {
        return mAskWanted;
    }

    /** Returns whether a request waits for tokens since the last call. */
    public synchronized boolean takeTokenRequest() {
        boolean wanted = mAskWanted;
        mAskWanted = false;
        return wanted;
    }

    /** Returns how many requests were told to wait since the last ask ended. */
    public synchronized int waitingRequests() {
        return mWaiting;
    }

    /** Returns whether a request may still wait for tokens at a time. */
    synchronized boolean isWaitingUntil(long nanos) {
        return mWaiting > 0 && nanos - mWaitUntil < 0;
    }

    /** Returns the smoothed number of requests offered each second, including refused ones. */
    public synchronized double demandPerSecond(long nowNanos) {
        advance(nowNanos);
        return mDemand.perSecond(mNow);
    }

    /** Returns the tokens of the grant. */
    public synchronized double grantTokens(long nowNanos) {
        advance(nowNanos);
        return mGrantTokens;
    }

    /** Returns all tokens. */
    public synchronized double tokens(long nowNanos) {
        advance(nowNanos);
        return mGrantTokens + mPermanentTokens;
    }

    /** Returns whether a grant with capacity is in force. */
    public synchronized boolean hasGrant(long nowNanos) {
        advance(nowNanos);
        return mGrantCapacity > 0;
    }

    /** Returns the rate of both parts that is in force now, in tokens a second. */
    public synchronized double ratePerSecond(long nowNanos) {
        advance(nowNanos);
        return mPermanentRate + mGrantRate;
    }
}
