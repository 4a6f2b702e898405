package org.plantainferry.daemon.log;

import org.jboss.logging.Logger;

/**
 * Lists the numbered events of the daemon; docs/log-events.md explains each to operators.
 *
 * @since 0.1
 */
public enum LogEvent {
    /** The instance serves. */
    STARTED(1001, Logger.Level.INFO, "instance %s in failure domain %s listens on %s"),
    /** The settings have mistakes and nothing was started. */
    SETTINGS_INVALID(1002, Logger.Level.ERROR, "%s"),
    /** A drain began. */
    DRAIN_STARTED(1003, Logger.Level.INFO, "drain started: %s"),
    /** A drain ended and the process exits. */
    DRAIN_ENDED(1004, Logger.Level.INFO, "drain ended with %d requests in progress"),
    /** A pause of the process was noticed. */
    PROCESS_PAUSED(1005, Logger.Level.WARN, "the process was paused for %d ms"),
    /** A configuration came into force. */
    CONFIGURATION_IN_FORCE(2001, Logger.Level.INFO, "configuration version %d is in force"),
    /** A configuration object is malformed; the last good one stays in force. */
    CONFIGURATION_REJECTED(2002, Logger.Level.ERROR, "configuration rejected: %s"),
    /** The freshness of the configuration changed. */
    FRESHNESS_CHANGED(2003, Logger.Level.WARN, "configuration freshness is %s"),
    /** The store stopped answering. */
    STORE_LOST(2004, Logger.Level.WARN, "the store does not answer: %s"),
    /** The store answers again. */
    STORE_BACK(2005, Logger.Level.INFO, "the store answers again"),
    /** A slot object is malformed. */
    SLOTS_REJECTED(2006, Logger.Level.ERROR, "share slots of %s rejected: %s"),
    /** The slots that this instance holds changed. */
    SLOTS_CHANGED(2007, Logger.Level.INFO, "this instance holds %d share slots"),
    /** A primary is suspected and is being replaced. */
    PRIMARY_FENCING(3001, Logger.Level.WARN, "service %s: fencing %s at term %d"),
    /** A new primary is known. */
    PRIMARY_CHANGED(3002, Logger.Level.INFO, "service %s: primary %s in term %d"),
    /** A peer sent a message that cannot be used. */
    PEER_MESSAGE_REJECTED(4001, Logger.Level.WARN, "peer message rejected: %s"),
    /** An unexpected error was met by the control thread; it goes on. */
    CONTROL_ERROR(5001, Logger.Level.ERROR, "control task %s failed: %s"),
    /** An unexpected error was met while serving a request. */
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

    /** Returns the code of the event, as {@code PF1001}. */
    public String code() {
        return PREFIX + mNumber;
    }

    /** Returns the level with which the event is logged. */
    public String level() {
        return mLevel.name();
    }

    /** Writes the event to the log; arguments must not contain keys or secrets. */
    public void log(Object... arguments) {
        LOGGER.logf(mLevel, code() + " " + mFormat, arguments);
    }

    /** Writes the event to the log with the stack trace of its cause. */
    public void logWithCause(Throwable cause, Object... arguments) {
        LOGGER.logf(mLevel, cause, code() + " " + mFormat, arguments);
    }
}
