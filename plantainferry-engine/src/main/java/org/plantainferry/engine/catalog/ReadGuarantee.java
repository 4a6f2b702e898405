package org.plantainferry.engine.catalog;

/**
 * Lists the commits that a read on a route must see.
 *
 * @since 0.2
 */
public enum ReadGuarantee {
    /** All commits acknowledged before the read. */
    PRIMARY,
    /** All commits acknowledged longer ago than the maximum age of the route. */
    BOUNDED_AGE,
    /** As {@link #BOUNDED_AGE}, and all commits of the same session. */
    SESSION
}
