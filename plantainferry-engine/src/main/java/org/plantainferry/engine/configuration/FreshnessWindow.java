package org.plantainferry.engine.configuration;

/**
 * Holds until when a configuration version counts as fresh; immutable, for the traffic threads.
 *
 * <p>It is evaluated at the time of use, so a pause of the process makes it expire.
 *
 * @param version the version in force
 * @param hasFreshUntil whether {@code freshUntilNanos} means anything
 * @param freshUntilNanos the end of {@link Freshness#FRESH}, exclusive
 * @param hasOutageUntil whether {@code outageUntilNanos} means anything
 * @param outageUntilNanos the end of {@link Freshness#OUTAGE}, exclusive
 * @since 0.1
 */
public record FreshnessWindow(
        long version,
        boolean hasFreshUntil,
        long freshUntilNanos,
        boolean hasOutageUntil,
        long outageUntilNanos) {
    /** The view of an instance that never heard of the store. */
    public static final FreshnessWindow NONE = new FreshnessWindow(0, false, 0, false, 0);

    /** Returns the freshness at a time. */
    public Freshness freshnessAt(long nowNanos) {
        if (hasFreshUntil && nowNanos - freshUntilNanos < 0) {
            return Freshness.FRESH;
        }
        if (hasOutageUntil && nowNanos - outageUntilNanos < 0) {
            return Freshness.OUTAGE;
        }
        return Freshness.ISOLATED;
    }
}
