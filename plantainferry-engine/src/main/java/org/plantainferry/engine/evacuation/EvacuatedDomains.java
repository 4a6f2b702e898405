package org.plantainferry.engine.evacuation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;

/**
 * Decides from when on nothing may be sent to a server of an evacuated failure domain.
 *
 * <p>A replica gets nothing more at once. A primary, which no other server can stand in for, serves
 * on for a short time, in which it is replaced. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.3
 */
public final class EvacuatedDomains {
    // The rest of the bound is for the evacuation to become known to this instance.
    private static final double PRIMARY_GRACE_FRACTION = 0.4;

    private final long mPrimaryGraceNanos;
    private final Map<String, Long> mSinceNanos = new HashMap<>();

    /**
     * Creates an object without evacuated failure domains.
     *
     * @param evacuationMillis the time after the request of an evacuation within which nothing may
     *     be sent any more, in milliseconds
     */
    public EvacuatedDomains(long evacuationMillis) {
        Preconditions.condition(evacuationMillis > 0, "evacuationMillis must be positive");
        mPrimaryGraceNanos =
                (long) (TimeUnit.MILLISECONDS.toNanos(evacuationMillis) * PRIMARY_GRACE_FRACTION);
    }

    /** Sets the evacuated failure domains; one that was evacuated already keeps its time. */
    public void onDomains(Set<String> domains, long nowNanos) {
        mSinceNanos.keySet().retainAll(domains);
        domains.forEach(domain -> mSinceNanos.putIfAbsent(domain, nowNanos));
    }

    /** Returns whether a failure domain is evacuated. */
    public boolean isEvacuated(String domain) {
        return mSinceNanos.containsKey(domain);
    }

    /**
     * Returns the time from which on nothing may be sent to a server.
     *
     * @param primary whether the server is the primary of its group
     * @return empty if the failure domain is not evacuated
     */
    public Optional<Long> closedFromNanos(String domain, boolean primary) {
        return Optional.ofNullable(mSinceNanos.get(domain))
                .map(since -> primary ? since + mPrimaryGraceNanos : since);
    }
}
