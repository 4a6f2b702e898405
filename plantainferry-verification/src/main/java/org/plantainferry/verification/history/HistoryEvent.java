package org.plantainferry.verification.history;

/**
 * Records an event of a run other than a call, such as a fault or a configuration change.
 *
 * @param nanos the monotonic time of the event; for {@code VERSION_ACCEPTED} and {@code
 *     KEY_WITHDRAWN} the time after the store confirmed the change
 * @param kind what happened
 * @param subject the name of the instance, server, service or key, or {@code store} or {@code
 *     configuration}
 * @param number the version that was accepted; 0 otherwise
 * @since 0.1
 */
public record HistoryEvent(long nanos, Kind kind, String subject, long number) {
    /** Lists the kinds of events. */
    public enum Kind {
        /** The store accepted a version of the configuration. */
        VERSION_ACCEPTED,
        /** The withdrawal of a key was accepted. */
        KEY_WITHDRAWN,
        /** A target server was marked as leaving. */
        SERVER_LEAVING,
        /** A fault hit the primary of a service. */
        PRIMARY_FAULT,
        /** An instance received SIGTERM. */
        INSTANCE_TERMINATED,
        /** An instance was killed. */
        INSTANCE_KILLED,
        /** An instance was stopped with SIGSTOP. */
        INSTANCE_FROZEN,
        /** An instance continued after SIGSTOP. */
        INSTANCE_THAWED,
        /** An instance was cut off from the store. */
        INSTANCE_CUT,
        /** All cuts of an instance ended. */
        INSTANCE_HEALED,
        /** An instance was started. */
        INSTANCE_STARTED,
        /** An outage of the store began. */
        STORE_OUT,
        /** The outage of the store ended. */
        STORE_BACK
    }
}
