package org.plantainferry.engine.configuration;

/**
 * Describes whether the configuration in force can be relied on to be the newest.
 *
 * @since 0.1
 */
public enum Freshness {
    /** The store confirmed the version within the last 5 s. */
    FRESH,
    /** No failure domain reaches the store, so no key can have been withdrawn. */
    OUTAGE,
    /** The store may have accepted a withdrawal that is not known to this instance. */
    ISOLATED
}
