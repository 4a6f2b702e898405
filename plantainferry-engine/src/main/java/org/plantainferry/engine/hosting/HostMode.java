package org.plantainferry.engine.hosting;

/**
 * Lists when statements are passed to a host.
 *
 * @since 0.4
 */
public enum HostMode {
    /** Where the configuration calls for it. */
    AUTOMATIC,
    /** For all services. */
    ALWAYS,
    /** For no service. */
    NEVER
}
