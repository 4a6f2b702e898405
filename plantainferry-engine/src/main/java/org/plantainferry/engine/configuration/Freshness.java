package org.plantainferry.engine.configuration;

/**
 * Says how far the configuration in force can be trusted to be the newest.
 *
 * @since 0.1
 */
public enum Freshness {
    /** The store confirmed the version within the last 5 s. */
    FRESH,
    /** No failure domain reaches the store, so nothing can have been withdrawn. */
    OUTAGE,
    /** A withdrawal may have been accepted without being known here. */
    ISOLATED
}
