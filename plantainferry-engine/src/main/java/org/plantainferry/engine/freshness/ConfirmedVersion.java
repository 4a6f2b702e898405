package org.plantainferry.engine.freshness;

/**
 * Tracks up to which time the current configuration is confirmed to be the newest one.
 *
 * <p>The store confirms a version for the time at which a request was sent. Another instance
 * reports its confirmation as an age. The age was taken after the request was sent, so it is
 * subtracted from that time, and a slow answer cannot make the confirmation look newer. Times are
 * nanoseconds that include suspensions. Not thread-safe.
 *
 * @since 0.2
 */
public final class ConfirmedVersion {
    private long mVersion;
    private long mConfirmedNanos;

    /**
     * Creates an instance without a confirmation.
     *
     * @param confirmedNanos a time far enough in the past to count as unconfirmed
     */
    public ConfirmedVersion(long confirmedNanos) {
        mConfirmedNanos = confirmedNanos;
    }

    /** Records that the store reported {@code version} as the newest to a request. */
    public void onStoreAnswer(long version, long sentNanos) {
        mVersion = Math.max(mVersion, version);
        confirm(sentNanos);
    }

    /**
     * Records the answer of another instance.
     *
     * @param askedNanos when the request was sent
     * @param version the current version of the other instance
     * @param ageNanos how old its confirmation was when it answered
     * @return whether the other instance has a newer version; then nothing is confirmed
     */
    public boolean onPeerAnswer(long askedNanos, long version, long ageNanos) {
        if (version > mVersion) {
            return true;
        }
        // A peer with an older version has only confirmed that its own was the newest at that time.
        if (version == mVersion) {
            confirm(askedNanos - ageNanos);
        }
        return false;
    }

    /**
     * Records that a version exists, without a confirmation that it is the newest.
     *
     * <p>It contains all changes up to the time for which an earlier version was confirmed.
     */
    public void onVersion(long version) {
        mVersion = Math.max(mVersion, version);
    }

    private void confirm(long nanos) {
        if (nanos - mConfirmedNanos > 0) {
            mConfirmedNanos = nanos;
        }
    }

    /** Returns the current version. */
    public long version() {
        return mVersion;
    }

    /** Returns the latest time for which the current version is confirmed. */
    public long confirmedNanos() {
        return mConfirmedNanos;
    }

    /** Returns the age of the confirmation. */
    public long ageNanos(long nowNanos) {
        return nowNanos - mConfirmedNanos;
    }
}
