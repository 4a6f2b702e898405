package org.plantainferry.gateway.log;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;

/**
 * Lists the numbered events of the gateway; docs/log-events.md explains each to operators.
 *
 * <p>Each event has its own bound of lines a second. Lines above it are counted, and the count is
 * written with the next line, so that a flood of one event hides no other.
 *
 * @since 0.2
 */
public enum GatewayEvent {
    /** The instance serves. */
    STARTED(6001, Logger.Level.INFO, "started instance=%s domain=%s callers=%s"),
    /** The settings have mistakes and nothing was started. */
    SETTINGS_INVALID(6002, Logger.Level.ERROR, "settings-invalid reason=\"%s\""),
    /** A drain began. */
    DRAIN_STARTED(6003, Logger.Level.INFO, "drain-started sessions=%s transactions=%s"),
    /** A drain ended and the process exits. */
    DRAIN_ENDED(6004, Logger.Level.INFO, "drain-ended sessions=%s transactions=%s"),
    /** The settings file was announced as changed. */
    RELOADED(6005, Logger.Level.INFO, "settings-reread changed=%s"),
    /** A configuration came into force. */
    CONFIGURATION_IN_FORCE(6101, Logger.Level.INFO, "configuration version=%s before=%s"),
    /** A configuration object cannot be used. */
    CONFIGURATION_REJECTED(6102, Logger.Level.ERROR, "configuration-rejected reason=\"%s\""),
    /** The store stopped answering. */
    STORE_LOST(6103, Logger.Level.WARN, "store-lost feed=%s reason=\"%s\""),
    /** The store answers again. */
    STORE_BACK(6104, Logger.Level.INFO, "store-back feed=%s away-ms=%s"),
    /** The entry of a server changed. */
    SERVER_CHANGED(6105, Logger.Level.INFO, "server id=%s service=%s state=%s"),
    /** The list of instances changed. */
    INSTANCES_CHANGED(6106, Logger.Level.INFO, "instances others=%s"),
    /** Another instance knows a newer configuration. */
    CONFIGURATION_BEHIND(6107, Logger.Level.WARN, "configuration-behind version=%s other=%s"),
    /** A primary is suspected. */
    PRIMARY_SUSPECTED(6201, Logger.Level.WARN, "primary-suspected service=%s server=%s reason=%s"),
    /** A server refused as a replica although it was taken for the primary. */
    PRIMARY_REFUSED(6202, Logger.Level.INFO, "primary-refused service=%s server=%s"),
    /** This instance orders a replica to lead. */
    PROMOTION_ORDERED(
            6203, Logger.Level.WARN, "promotion-ordered service=%s server=%s token=%s received=%s"),
    /** A promotion ended. */
    PROMOTION_ENDED(6204, Logger.Level.INFO, "promotion-ended service=%s outcome=%s took-ms=%s"),
    /** Statements for a primary go through another instance, which reaches it. */
    RELAY_USED(6205, Logger.Level.WARN, "relay-used server=%s through=%s"),
    /** A connection of another instance was not passed on. */
    RELAY_REFUSED(6206, Logger.Level.WARN, "relay-refused server=%s reason=\"%s\""),
    /** A replacement of a primary began or ended, or its outcome became known. */
    PRIMARY_FENCED(
            6207,
            Logger.Level.INFO,
            "primary-fenced service=%s token=%s state=%s ordered=%s term=%s"),
    /** It is decided whether the instances have stopped to use a primary. */
    FENCE_ROUND_ENDED(
            6208,
            Logger.Level.INFO,
            "fence-round-ended service=%s token=%s decision=%s unconfirmed=%s"),
    /** This instance gained or lost the right to use primaries. */
    LEAD_LEASE(6209, Logger.Level.WARN, "lead-lease state=%s heard-domains=%s"),
    /** Two servers claim to lead a group, and the one with the newest term is believed. */
    PRIMARY_SETTLED(6210, Logger.Level.WARN, "primary-settled service=%s server=%s term=%s"),
    /** A server that says it leads was asked for its term, and is believed or not. */
    PRIMARY_VERIFIED(
            6211, Logger.Level.INFO, "primary-verified service=%s server=%s term=%s believed=%s"),
    /** The claims at the store allow or no longer allow to use primaries. */
    STORE_LEASE(6212, Logger.Level.INFO, "store-lease state=%s claimed=%s reason=\"%s\""),
    /** No server could take a request in time. */
    REQUEST_UNPLACED(
            6301,
            Logger.Level.WARN,
            "request-unplaced request=%s purpose=%s service=%s reason=\"%s\""),
    /** A request was refused before it was sent. */
    REQUEST_REFUSED(
            6302,
            Logger.Level.INFO,
            "request-refused request=%s workspace=%s code=%s reason=\"%s\" configuration=%s"
                    + " limit=\"%s\""),
    /** A server refused or failed a request, or its answer is missing. */
    REQUEST_FAILED(
            6303,
            Logger.Level.WARN,
            "request-failed request=%s server=%s outcome=%s code=%s reason=\"%s\" after-ms=%s"),
    /** A request is sent to another server. */
    REQUEST_RETRIED(
            6304, Logger.Level.INFO, "request-retried request=%s server=%s attempt=%s cause=%s"),
    /** A transaction was ended by this system. */
    TRANSACTION_ENDED(
            6305, Logger.Level.WARN, "transaction-ended request=%s workspace=%s reason=\"%s\""),
    /** A session was refused at its start. */
    SESSION_REFUSED(
            6306,
            Logger.Level.INFO,
            "session-refused database=%s code=%s reason=\"%s\" configuration=%s"),
    /** An unexpected error was met; the process goes on. */
    UNEXPECTED(6901, Logger.Level.ERROR, "unexpected where=%s error=\"%s\"");

    private static final Logger LOGGER = Logger.getLogger("org.plantainferry.gateway");
    private static final String PREFIX = "PF";
    private static final long LINES_PER_SECOND = 20;

    private final int mNumber;
    private final Logger.Level mLevel;
    private final String mFormat;
    private final AtomicLong mCurrentSecond = new AtomicLong();
    private final AtomicLong mLinesInSecond = new AtomicLong();
    private final AtomicLong mSuppressed = new AtomicLong();

    /**
     * The format takes texts only: numbers in it would load the rules of a language at the start.
     */
    GatewayEvent(int number, Logger.Level level, String format) {
        mNumber = number;
        mLevel = level;
        mFormat = format;
    }

    /** Returns the code of the event, as {@code PF6001}. */
    public String code() {
        return PREFIX + mNumber;
    }

    /** Writes the event; arguments must not contain keys. */
    public void log(Object... arguments) {
        if (!isWithinRateLimit()) {
            mSuppressed.incrementAndGet();
            return;
        }
        long suppressed = mSuppressed.getAndSet(0);
        String text = code() + " " + String.format(mFormat, arguments);
        LOGGER.log(mLevel, suppressed == 0 ? text : text + " suppressed=" + suppressed);
    }

    private boolean isWithinRateLimit() {
        long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
        if (mCurrentSecond.getAndSet(second) != second) {
            mLinesInSecond.set(0);
        }
        return mLinesInSecond.incrementAndGet() <= LINES_PER_SECOND;
    }
}
