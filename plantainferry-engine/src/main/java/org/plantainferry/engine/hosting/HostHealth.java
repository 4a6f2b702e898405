package org.plantainferry.engine.hosting;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether statements may be passed to one other instance, and when a link to it may be
 * opened.
 *
 * <p>Not thread-safe. All times are readings of one clock, in nanoseconds.
 *
 * @since 0.4
 */
public final class HostHealth {
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long MIN_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MAX_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(16);
    // A host that has served for this long starts again with the shortest avoidance.
    private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private enum Link {
        NONE,
        OPENING,
        ESTABLISHED
    }

    private Link mLink = Link.NONE;
    private boolean mLeaving;
    private boolean mSilent;
    private boolean mAvoided;
    private long mAvoidedUntilNanos;
    private long mEstablishedNanos;
    private long mAvoidanceNanos = MIN_AVOIDANCE_NANOS;
    private boolean mAwaiting;
    private long mLastSignNanos;

    /** Returns whether a link may be opened now. */
    public boolean mayOpen(long nowNanos) {
        return mLink == Link.NONE && !isAvoided(nowNanos);
    }

    /** Returns whether statements may be passed now. */
    public boolean isUsable(long nowNanos) {
        return mLink == Link.ESTABLISHED && !mLeaving && !mSilent && !isAvoided(nowNanos);
    }

    private boolean isAvoided(long nowNanos) {
        return mAvoided && nowNanos - mAvoidedUntilNanos < 0;
    }

    /** Records that a link is being opened. */
    public void onOpening() {
        mLink = Link.OPENING;
        mLeaving = false;
        mSilent = false;
        mAwaiting = false;
    }

    /** Records that the other instance has accepted the link. */
    public void onEstablished(long nowNanos) {
        mLink = Link.ESTABLISHED;
        mEstablishedNanos = nowNanos;
    }

    /** Records that the other instance announced its exit. */
    public void onLeaving() {
        mLeaving = true;
    }

    /** Records the end of a link that was not wanted any more. */
    public void onClosed() {
        mLink = Link.NONE;
    }

    /**
     * Records that a link failed, was refused or was lost.
     *
     * @return for how long the other instance is avoided, in nanoseconds
     */
    public long onFailure(long nowNanos) {
        boolean hasServed =
                mLink == Link.ESTABLISHED && nowNanos - mEstablishedNanos >= RECOVERY_NANOS;
        mLink = Link.NONE;
        return avoid(nowNanos, hasServed);
    }

    private long avoid(long nowNanos, boolean hasServed) {
        if (hasServed) {
            mAvoidanceNanos = MIN_AVOIDANCE_NANOS;
        }
        long avoidance = mAvoidanceNanos;
        mAvoided = true;
        mAvoidedUntilNanos = nowNanos + avoidance;
        mAvoidanceNanos = Math.min(MAX_AVOIDANCE_NANOS, 2 * avoidance);
        return avoidance;
    }

    /** Records that an answer is awaited from now on, if none was awaited before. */
    public void onAwaiting(long nowNanos) {
        if (!mAwaiting) {
            mAwaiting = true;
            mLastSignNanos = nowNanos;
        }
    }

    /** Records that no answer is awaited any more. */
    public void onNothingAwaited() {
        mAwaiting = false;
    }

    /** Records that anything was received on the link. */
    public void onSign(long nowNanos) {
        mLastSignNanos = nowNanos;
        mSilent = false;
    }

    /**
     * Returns whether the other instance has fallen silent while answers are awaited. Returns true
     * once for each silence; the instance is avoided from then on.
     */
    public boolean fallsSilent(long nowNanos) {
        if (!mAwaiting || mSilent || nowNanos - mLastSignNanos < SILENCE_NANOS) {
            return false;
        }
        mSilent = true;
        avoid(nowNanos, nowNanos - mEstablishedNanos >= RECOVERY_NANOS);
        return true;
    }
}
