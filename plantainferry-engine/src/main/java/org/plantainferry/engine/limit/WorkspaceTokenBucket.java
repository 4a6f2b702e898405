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
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long MAXIMUM_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(320);

    // Tokens that are on their way between instances are missing for some milliseconds; a short
    // queue covers that, and is short enough for an overloaded workspace to be refused soon.
    private static final long MAXIMUM_QUEUE_NANOS = TimeUnit.MILLISECONDS.toNanos(90);
    private static final long DEFAULT_RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    // Sums of binary fractions may miss a whole token by a rounding error.
    private static final double TOKEN_THRESHOLD = 1 - 1e-9;

    private final DemandMeter mDemand;
    private double mOwnRate;
    private double mOwnCapacity;
    private double mOwnTokens;
    private long mOwnUntilNanos;
    private double mGrantRate;
    private double mGrantCapacity;
    private double mGrantTokens;
    private long mGrantUntilNanos;
    private long mNowNanos;
    private long mWaitUntilNanos;
    private long mNextTokenRequestNanos;
    private long mLastQueuedDueNanos;
    private long mBackoffNanos = INITIAL_BACKOFF_NANOS;
    private volatile boolean mTokenRequestWanted;
    private int mWaitingRequests;
    private boolean mAllocatorAnswered;

    /** Creates an empty bucket. */
    public WorkspaceTokenBucket(long nowNanos) {
        mNowNanos = nowNanos;
        mOwnUntilNanos = nowNanos;
        mGrantUntilNanos = nowNanos;
        mWaitUntilNanos = nowNanos;
        mNextTokenRequestNanos = nowNanos;
        mLastQueuedDueNanos = nowNanos;
        mDemand = new DemandMeter(nowNanos);
    }

    /** Spends a token for a request that arrived now, if there is one. */
    public synchronized Acquisition tryAcquire(long nowNanos) {
        advance(nowNanos);
        mDemand.count(mNowNanos);
        return acquire(true);
    }

    /** Tries again for a request that was told to wait; it does not count as demand again. */
    public synchronized Acquisition retryAcquire(long nowNanos) {
        advance(nowNanos);
        return acquire(false);
    }

    private Acquisition acquire(boolean first) {
        if (mOwnTokens + mGrantTokens >= TOKEN_THRESHOLD) {
            double fromGrant = Math.min(1, mGrantTokens);
            mGrantTokens -= fromGrant;
            mOwnTokens = Math.max(0, mOwnTokens - (1 - fromGrant));
            return GRANTED;
        }
        if (mNowNanos - mWaitUntilNanos < 0) {
            mWaitingRequests += first ? 1 : 0;
            return new Acquisition.Wait(mWaitUntilNanos - mNowNanos);
        }
        if (mNowNanos - mNextTokenRequestNanos >= 0) {
            mTokenRequestWanted = true;
            mWaitingRequests = 1;
            mWaitUntilNanos = mNowNanos + currentMaximumWaitNanos();
            // The ask may never be answered; callers after it are refused for a while.
            mNextTokenRequestNanos = mWaitUntilNanos + mBackoffNanos;
            return new Acquisition.Wait(currentMaximumWaitNanos());
        }
        return queueForDueToken(first);
    }

    private long currentMaximumWaitNanos() {
        return mAllocatorAnswered
                ? ShareTiming.MAXIMUM_WAIT_NANOS
                : ShareTiming.MAXIMUM_FIRST_WAIT_NANOS;
    }

    /**
     * Returns how long a caller may be held, in nanoseconds.
     *
     * <p>Before the first answer of an allocator nothing says that the rate is used up, so a caller
     * is held longer rather than refused.
     */
    public synchronized long maximumWaitNanos() {
        return currentMaximumWaitNanos();
    }

    /** Queues the request when a token is due soon, behind those that wait already. */
    private Acquisition queueForDueToken(boolean first) {
        double rate = mOwnRate + mGrantRate;
        // Each answer wakes all callers; if a repeated try took a further place, the queue would
        // count the same callers several times and refuse others.
        if (!first && rate > 0 && mLastQueuedDueNanos - mNowNanos > 0) {
            return new Acquisition.Wait(mLastQueuedDueNanos - mNowNanos + 1);
        }
        if (rate > 0) {
            double missing = 1 - mOwnTokens - mGrantTokens;
            long firstDue = mNowNanos + (long) (missing / rate * ShareTiming.NANOS_PER_SECOND);
            long nextDue = mLastQueuedDueNanos + (long) (ShareTiming.NANOS_PER_SECOND / rate);
            long due = nextDue - firstDue > 0 ? nextDue : firstDue;
            if (due - mNowNanos <= MAXIMUM_QUEUE_NANOS) {
                mLastQueuedDueNanos = due;
                return new Acquisition.Wait(due - mNowNanos + 1);
            }
        }
        return new Acquisition.Refused(retryAfterMillis());
    }

    private long retryAfterMillis() {
        double rate = mOwnRate + mGrantRate;
        double nanos = DEFAULT_RETRY_AFTER_NANOS;
        if (rate > 0) {
            double missing = 1 - mOwnTokens - mGrantTokens;
            nanos = Math.max(0, missing) / rate * ShareTiming.NANOS_PER_SECOND;
        }
        return Math.max(1, (long) Math.ceil(nanos / 1e6));
    }

    private void advance(long nowNanos) {
        if (nowNanos - mNowNanos <= 0) {
            return;
        }
        if (nowNanos - mOwnUntilNanos >= 0) {
            mOwnRate = 0;
            mOwnCapacity = 0;
            mOwnTokens = 0;
        }
        if (nowNanos - mGrantUntilNanos >= 0) {
            mGrantRate = 0;
            mGrantCapacity = 0;
            mGrantTokens = 0;
        }
        double seconds = (nowNanos - mNowNanos) / ShareTiming.NANOS_PER_SECOND;
        mOwnTokens = Math.min(mOwnCapacity, mOwnTokens + mOwnRate * seconds);
        mGrantTokens = Math.min(mGrantCapacity, mGrantTokens + mGrantRate * seconds);
        mNowNanos = nowNanos;
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
        double removed = Math.max(0, mOwnTokens - capacity);
        mOwnTokens -= removed;
        mOwnRate = ratePerSecond;
        mOwnCapacity = capacity;
        mOwnUntilNanos = untilNanos;
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
        mAllocatorAnswered = true;
        if (mNowNanos - untilNanos >= 0) {
            mGrantUntilNanos = mNowNanos;
            mGrantRate = 0;
            mGrantCapacity = 0;
            mGrantTokens = 0;
            return 0;
        }
        double tokens = mGrantTokens + addedTokens;
        mGrantTokens = Math.min(capacity, tokens);
        mGrantRate = ratePerSecond;
        mGrantCapacity = capacity;
        mGrantUntilNanos = untilNanos;
        return tokens - mGrantTokens;
    }

    /**
     * Ends the wait for tokens, if there is one.
     *
     * @param fruitful whether tokens came; a fruitless ask delays the next one, longer each time
     */
    public synchronized void endTokenRequest(long nowNanos, boolean fruitful) {
        advance(nowNanos);
        if (mWaitingRequests == 0) {
            return;
        }
        mWaitUntilNanos = mNowNanos;
        mTokenRequestWanted = false;
        mWaitingRequests = 0;
        mBackoffNanos =
                fruitful
                        ? INITIAL_BACKOFF_NANOS
                        : Math.min(MAXIMUM_BACKOFF_NANOS, mBackoffNanos * 2);
        mNextTokenRequestNanos = fruitful ? mNowNanos : mNowNanos + mBackoffNanos;
    }

    /** Returns whether a request waits for tokens for which no ask has been sent. */
    boolean isTokenRequestWanted() {
        return mTokenRequestWanted;
    }

    /** Returns whether a request waits for tokens since the last call. */
    public synchronized boolean takeTokenRequest() {
        boolean wanted = mTokenRequestWanted;
        mTokenRequestWanted = false;
        return wanted;
    }

    /** Returns how many requests were told to wait since the last ask ended. */
    public synchronized int waitingRequests() {
        return mWaitingRequests;
    }

    /** Returns whether a request may still wait for tokens at a time. */
    synchronized boolean isWaitingUntil(long nanos) {
        return mWaitingRequests > 0 && nanos - mWaitUntilNanos < 0;
    }

    /** Returns the smoothed number of requests offered each second, including refused ones. */
    public synchronized double demandPerSecond(long nowNanos) {
        advance(nowNanos);
        return mDemand.perSecond(mNowNanos);
    }

    /** Returns the tokens of the grant. */
    public synchronized double grantTokens(long nowNanos) {
        advance(nowNanos);
        return mGrantTokens;
    }

    /** Returns all tokens. */
    public synchronized double tokens(long nowNanos) {
        advance(nowNanos);
        return mGrantTokens + mOwnTokens;
    }

    /** Returns whether a grant with capacity is in force. */
    public synchronized boolean hasGrant(long nowNanos) {
        advance(nowNanos);
        return mGrantCapacity > 0;
    }

    /** Returns the rate of both parts that is in force now, in tokens a second. */
    public synchronized double ratePerSecond(long nowNanos) {
        advance(nowNanos);
        return mOwnRate + mGrantRate;
    }
}
