package org.plantainferry.engine.configuration;

/**
 * Holds until when a configuration version counts as fresh; immutable, so that traffic threads can
 * share it.
 *
 * <p>The times are compared when the window is used, so the window also expires during a pause of
 * the process.
 *
 * @param version the version in force
 * @param hasFreshUntil whether {@code freshUntilNanos} is set
 * @param freshUntilNanos the monotonic time at which {@link Freshness#FRESH} ends, exclusive
 * @param hasOutageUntil whether {@code outageUntilNanos} is set
 * @param outageUntilNanos the monotonic time at which {@link Freshness#OUTAGE} ends, exclusive
 * @since 0.1
 */
public record FreshnessWindow(
        long version,
        boolean hasFreshUntil,
        long freshUntilNanos,
        boolean hasOutageUntil,
        long outageUntilNanos) {
    /** The window of an instance that has never received a confirmation; always isolated. */
    public static final FreshnessWindow NONE = new FreshnessWindow(0, false, 0, false, 0);

    /** Returns the freshness at the given time. */
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
