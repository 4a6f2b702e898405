package org.plantainferry.engine.drain;

/**
 * Lists the reasons for which an instance drains.
 *
 * @since 0.1
 */
public enum DrainCause {
    /** The process received a termination signal. */
    SIGNAL,
    /** The store holds a drain order for the instance. */
    ORDER
}
