package org.plantainferry.network.log;

import org.jboss.logging.Logger;

/**
 * Lists the numbered log events of the network module; docs/log-events.md explains each event to
 * operators.
 *
 * @since 0.1
 */
public enum NetworkEvent {
    /** The handler of a message from a peer failed. */
    PEER_MESSAGE_FAILED(6001, Logger.Level.WARN, "cannot handle a message from %s"),
    /** A connection from a peer is closed after an error. */
    PEER_CONNECTION_CLOSED(6002, Logger.Level.DEBUG, "closing the peer connection %s: %s"),
    /** A message to an address that is not IP:PORT is dropped. */
    PEER_MESSAGE_DROPPED(6003, Logger.Level.DEBUG, "dropping a message to %s: %s"),
    /** An entry of the platform's list of instances cannot be used. */
    INSTANCE_REJECTED(6004, Logger.Level.WARN, "the entry of instance %s is not used: %s"),
    /** A connection is closed because the server sent a response that no request asked for. */
    RESPONSE_NOT_ASKED_FOR(
            6008, Logger.Level.WARN, "closing a connection: server=%s sent an unasked response");

    private static final Logger LOGGER = Logger.getLogger("org.plantainferry.network");
    private static final String PREFIX = "PF";

    private final int mNumber;
    private final Logger.Level mLevel;
    private final String mFormat;

    NetworkEvent(int number, Logger.Level level, String format) {
        mNumber = number;
        mLevel = level;
        mFormat = format;
    }

    /** Returns the code of the event, such as {@code PF6001}. */
    public String code() {
        return PREFIX + mNumber;
    }

    /** Returns the name of the level at which the event is logged. */
    public String level() {
        return mLevel.name();
    }

    /** Writes the event to the log; arguments must not contain keys or secrets. */
    public void log(Object... arguments) {
        LOGGER.logf(mLevel, code() + " " + mFormat, arguments);
    }

    /**
     * Writes the event to the log with the stack trace of its cause; arguments must not contain
     * keys or secrets.
     */
    public void logWithCause(Throwable cause, Object... arguments) {
        LOGGER.logf(mLevel, cause, code() + " " + mFormat, arguments);
    }
}
