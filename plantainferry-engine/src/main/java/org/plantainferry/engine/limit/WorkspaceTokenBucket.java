package org.plantainferry.engine.limit;

import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;

/**
 * Limits the requests of one workspace on one instance with a token bucket.
 *
 * <p>The bucket has two parts: the own limit comes from share slots that this instance holds and
 * has not deposited, and the grant comes from an allocator. Both expire unless the control thread
 * renews them, so that a paused process stops spending tokens. Times are monotonic nanoseconds; a
 * time before the latest one counts as the latest. This class is thread-safe.
 *
 * @since 0.1
 */
public final class WorkspaceTokenBucket {
    private static final Acquisition.Granted GRANTED = new Acquisition.Granted();
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long MAXIMUM_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(320);

    // Tokens in transit between instances are unavailable for some milliseconds. A short queue
    // bridges that time and still refuses the requests of an overloaded workspace early.
    private static final long MAXIMUM_QUEUE_NANOS = TimeUnit.MILLISECONDS.toNanos(90);
    private static final long DEFAULT_RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    // Sums of binary fractions may be below a whole token by a rounding error.
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

    /** Takes a token for a new request, which counts as demand. */
    public synchronized Acquisition tryAcquire(long nowNanos) {
        advance(nowNanos);
        mDemand.count(mNowNanos);
        return acquire(true);
    }

    /** Takes a token for a request that was told to wait, without counting it as demand again. */
    public synchronized Acquisition retryAcquire(long nowNanos) {
        advance(nowNanos);
        return acquire(false);
    }

    private Acquisition acquire(boolean isNew) {
        if (mOwnTokens + mGrantTokens >= TOKEN_THRESHOLD) {
            double fromGrant = Math.min(1, mGrantTokens);
            mGrantTokens -= fromGrant;
            mOwnTokens = Math.max(0, mOwnTokens - (1 - fromGrant));
            return GRANTED;
        }
        if (mNowNanos - mWaitUntilNanos < 0) {
            mWaitingRequests += isNew ? 1 : 0;
            return new Acquisition.Wait(mWaitUntilNanos - mNowNanos);
        }
        if (mNowNanos - mNextTokenRequestNanos >= 0) {
            mTokenRequestWanted = true;
            mWaitingRequests = 1;
            mWaitUntilNanos = mNowNanos + currentMaximumWaitNanos();
            // The token request may stay unanswered; further callers are refused during the
            // backoff.
            mNextTokenRequestNanos = mWaitUntilNanos + mBackoffNanos;
            return new Acquisition.Wait(currentMaximumWaitNanos());
        }
        return queueForDueToken(isNew);
    }

    private long currentMaximumWaitNanos() {
        return mAllocatorAnswered
                ? ShareTiming.MAXIMUM_WAIT_NANOS
                : ShareTiming.MAXIMUM_FIRST_WAIT_NANOS;
    }

    /**
     * Returns the longest time that a caller may wait, in nanoseconds.
     *
     * <p>Before the first answer of an allocator, it is unknown whether the rate is used up, so
     * callers wait longer instead of being refused.
     */
    public synchronized long maximumWaitNanos() {
        return currentMaximumWaitNanos();
    }

    /** Queues the request behind those already waiting if a token is due soon; else refuses it. */
    private Acquisition queueForDueToken(boolean isNew) {
        double rate = mOwnRate + mGrantRate;
        // Each answer causes all waiting callers to retry. If each retry took another queue
        // position, the same callers would count several times and others would be refused.
        if (!isNew && rate > 0 && mLastQueuedDueNanos - mNowNanos > 0) {
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
     * Sets the own limit and removes tokens above the new capacity.
     *
     * @param untilNanos the time at which the own limit expires unless this method is called again
     * @return the number of tokens removed
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
     * Replaces the grant; keeps the tokens of the earlier grant up to the new capacity. A grant
     * that has expired already removes all granted tokens.
     *
     * @param addedTokens tokens that the allocator adds
     * @param untilNanos the time at which the grant expires
     * @return the tokens above the new capacity, which must be returned to the allocator
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
     * Ends the current token request, if there is one.
     *
     * @param tokensReceived whether tokens were received; otherwise the next token request is
     *     delayed by an exponential backoff
     */
    public synchronized void endTokenRequest(long nowNanos, boolean tokensReceived) {
        advance(nowNanos);
        if (mWaitingRequests == 0) {
            return;
        }
        mWaitUntilNanos = mNowNanos;
        mTokenRequestWanted = false;
        mWaitingRequests = 0;
        mBackoffNanos =
                tokensReceived
                        ? INITIAL_BACKOFF_NANOS
                        : Math.min(MAXIMUM_BACKOFF_NANOS, mBackoffNanos * 2);
        mNextTokenRequestNanos = tokensReceived ? mNowNanos : mNowNanos + mBackoffNanos;
    }

    /** Returns whether a request waits for tokens that have not been requested yet. */
    boolean isTokenRequestWanted() {
        return mTokenRequestWanted;
    }

    /** Returns whether a token request is wanted, and clears this state. */
    public synchronized boolean takeTokenRequest() {
        boolean wanted = mTokenRequestWanted;
        mTokenRequestWanted = false;
        return wanted;
    }

    /** Returns how many requests were told to wait since the last token request ended. */
    public synchronized int waitingRequests() {
        return mWaitingRequests;
    }

    /** Returns whether a request may still be waiting for tokens at the given time. */
    synchronized boolean isWaitingUntil(long nanos) {
        return mWaitingRequests > 0 && nanos - mWaitUntilNanos < 0;
    }

    /** Returns the smoothed number of requests offered each second, including refused ones. */
    public synchronized double demandPerSecond(long nowNanos) {
        advance(nowNanos);
        return mDemand.perSecond(mNowNanos);
    }

    /** Returns the number of tokens left of the grant. */
    public synchronized double grantTokens(long nowNanos) {
        advance(nowNanos);
        return mGrantTokens;
    }

    /** Returns the number of tokens of both parts. */
    public synchronized double tokens(long nowNanos) {
        advance(nowNanos);
        return mGrantTokens + mOwnTokens;
    }

    /** Returns whether a grant with capacity is in force. */
    public synchronized boolean hasGrant(long nowNanos) {
        advance(nowNanos);
        return mGrantCapacity > 0;
    }

    /** Returns the current rate of both parts, in tokens per second. */
    public synchronized double ratePerSecond(long nowNanos) {
        advance(nowNanos);
        return mOwnRate + mGrantRate;
    }
}
