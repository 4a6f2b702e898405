package org.plantainferry.daemon.log;

import org.jboss.logging.Logger;

/**
 * Lists the numbered log events of the daemon; docs/log-events.md explains them to operators.
 *
 * @since 0.1
 */
public enum LogEvent {
    /** The instance accepts requests of callers. */
    STARTED(1001, Logger.Level.INFO, "instance %s in failure domain %s listens on %s"),
    /** The settings are invalid and the instance does not run. */
    SETTINGS_INVALID(1002, Logger.Level.ERROR, "%s"),
    /** A drain began. */
    DRAIN_STARTED(1003, Logger.Level.INFO, "drain started: %s"),
    /** A drain ended; the process exits. */
    DRAIN_ENDED(1004, Logger.Level.INFO, "drain ended with %d requests in progress"),
    /** The process did not run for some time. */
    PROCESS_PAUSED(1005, Logger.Level.WARN, "the process was paused for %d ms"),
    /** A configuration came into force. */
    CONFIGURATION_IN_FORCE(2001, Logger.Level.INFO, "configuration version %d is in force"),
    /** A configuration is malformed; the last valid one stays in force. */
    CONFIGURATION_REJECTED(2002, Logger.Level.ERROR, "configuration rejected: %s"),
    /** The freshness of the configuration changed. */
    FRESHNESS_CHANGED(2003, Logger.Level.WARN, "configuration freshness is %s"),
    /** The store stopped answering. */
    STORE_LOST(2004, Logger.Level.WARN, "the store does not answer: %s"),
    /** The store answers again. */
    STORE_BACK(2005, Logger.Level.INFO, "the store answers again"),
    /** The slot object of a failure domain is malformed. */
    SLOTS_REJECTED(2006, Logger.Level.ERROR, "share slots of %s rejected: %s"),
    /** The number of share slots that this instance holds changed. */
    SLOTS_CHANGED(2007, Logger.Level.INFO, "this instance holds %d share slots"),
    /** A primary is suspected of failure; its group is fenced to replace it. */
    PRIMARY_FENCING(3001, Logger.Level.WARN, "service %s: fencing %s at term %d"),
    /** A group has a new primary. */
    PRIMARY_CHANGED(3002, Logger.Level.INFO, "service %s: primary %s in term %d"),
    /** A peer sent a malformed message. */
    PEER_MESSAGE_REJECTED(4001, Logger.Level.WARN, "peer message rejected: %s"),
    /** A task of the control thread failed unexpectedly; the thread continues. */
    CONTROL_ERROR(5001, Logger.Level.ERROR, "control task %s failed: %s"),
    /** A request failed unexpectedly. */
    REQUEST_ERROR(5002, Logger.Level.ERROR, "request failed unexpectedly: %s");

    private static final Logger LOGGER = Logger.getLogger("org.plantainferry");
    private static final String PREFIX = "PF";

    private final int mNumber;
    private final Logger.Level mLevel;
    private final String mFormat;

    LogEvent(int number, Logger.Level level, String format) {
        mNumber = number;
        mLevel = level;
        mFormat = format;
    }

    /** Returns the code of the event, for example {@code PF1001}. */
    public String code() {
        return PREFIX + mNumber;
    }

    /** Returns the name of the log level of the event. */
    public String level() {
        return mLevel.name();
    }

    /** Logs the event; the arguments must not contain keys or secrets. */
    public void log(Object... arguments) {
        LOGGER.logf(mLevel, code() + " " + mFormat, arguments);
    }

    /** Logs the event with the stack trace of its cause; the same restriction applies. */
    public void logWithCause(Throwable cause, Object... arguments) {
        LOGGER.logf(mLevel, cause, code() + " " + mFormat, arguments);
    }
}
