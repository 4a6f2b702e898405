package org.plantainferry.engine.freshness;

/**
 * Remembers until when the configuration in force is known to be the newest one.
 *
 * <p>The store confirms a version for the time at which a request was sent. Another instance passes
 * on what it knows as an age; the age was taken after the question was sent, so it is counted back
 * from that time and a slow answer does no harm. Times are nanoseconds that include suspensions.
 * Used by one thread.
 *
 * @since 0.2
 */
public final class ConfirmedVersion {
    private long mVersion;
    private long mConfirmedNanos;

    /**
     * Creates a record without a confirmation.
     *
     * @param confirmedNanos a time long ago
     */
    public ConfirmedVersion(long confirmedNanos) {
        mConfirmedNanos = confirmedNanos;
    }

    /** Notes that the store showed no version above the one given, to a request sent at a time. */
    public void onStoreAnswer(long version, long sentNanos) {
        mVersion = Math.max(mVersion, version);
        confirm(sentNanos);
    }

    /**
     * Notes the answer of another instance.
     *
     * @param askedNanos when the question was sent
     * @param version the version in force there
     * @param ageNanos how old its confirmation was when it answered
     * @return whether the other instance knows a newer version; nothing is confirmed then
     */
    public boolean onPeerAnswer(long askedNanos, long version, long ageNanos) {
        if (version > mVersion) {
            return true;
        }
        // A peer with an older version has confirmed only that its own one was the newest then.
        if (version == mVersion) {
            confirm(askedNanos - ageNanos);
        }
        return false;
    }

    private void confirm(long nanos) {
        if (nanos - mConfirmedNanos > 0) {
            mConfirmedNanos = nanos;
        }
    }

    /** Returns the version in force. */
    public long version() {
        return mVersion;
    }

    /** Returns the time for which the version is confirmed. */
    public long confirmedNanos() {
        return mConfirmedNanos;
    }

    /** Returns how old the confirmation is. */
    public long ageNanos(long nowNanos) {
        return nowNanos - mConfirmedNanos;
    }
}
