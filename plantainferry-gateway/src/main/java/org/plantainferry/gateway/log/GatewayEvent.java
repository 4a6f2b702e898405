package org.plantainferry.gateway.log;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;

/**
 * Lists the numbered log events of the gateway, which docs/log-events.md explains to operators.
 *
 * <p>Each event has its own limit of lines per second. Lines above the limit are dropped and
 * counted, and the count is written with the next line, so that a flood of one event hides no
 * other.
 *
 * @since 0.2
 */
public enum GatewayEvent {
    /** The instance has started to serve. */
    STARTED(6001, Logger.Level.INFO, "started instance=%s domain=%s callers=%s"),
    /** The settings are invalid and nothing was started. */
    SETTINGS_INVALID(6002, Logger.Level.ERROR, "settings-invalid reason=\"%s\""),
    /** A drain began. */
    DRAIN_STARTED(6003, Logger.Level.INFO, "drain-started sessions=%s transactions=%s"),
    /** A drain ended and the process exits. */
    DRAIN_ENDED(6004, Logger.Level.INFO, "drain-ended sessions=%s transactions=%s"),
    /** The settings file was read again after a reload signal. */
    RELOADED(6005, Logger.Level.INFO, "settings-reread changed=%s"),
    /** The warm-up ended, because it was complete or a caller came. */
    WARM_UP_ENDED(6007, Logger.Level.INFO, "warm-up-ended sessions=%s took-ms=%s"),
    /** Experimental settings are in use. */
    EXPERIMENT(6006, Logger.Level.WARN, "experimental-settings %s"),
    /** A configuration came into force. */
    CONFIGURATION_IN_FORCE(6101, Logger.Level.INFO, "configuration version=%s before=%s"),
    /** A configuration object is invalid and was rejected. */
    CONFIGURATION_REJECTED(6102, Logger.Level.ERROR, "configuration-rejected reason=\"%s\""),
    /** The store stopped answering. */
    STORE_LOST(6103, Logger.Level.WARN, "store-lost feed=%s reason=\"%s\""),
    /** The store answers again. */
    STORE_BACK(6104, Logger.Level.INFO, "store-back feed=%s away-ms=%s"),
    /** The store entry of a server changed. */
    SERVER_CHANGED(6105, Logger.Level.INFO, "server id=%s service=%s state=%s"),
    /** The list of instances changed. */
    INSTANCES_CHANGED(6106, Logger.Level.INFO, "instances others=%s"),
    /** Another instance has a newer configuration. */
    CONFIGURATION_BEHIND(6107, Logger.Level.WARN, "configuration-behind version=%s other=%s"),
    /** This instance follows the store directly, or through another instance. */
    STORE_FOLLOWED(6108, Logger.Level.INFO, "store-followed through=%s"),
    /** A connection over which feeds are passed on failed. */
    FEED_LINK_FAILED(6109, Logger.Level.WARN, "feed-link-failed with=%s reason=\"%s\""),
    /** A connection of another instance was refused, because its purpose is unknown. */
    PEER_CONNECTION_REFUSED(6110, Logger.Level.WARN, "peer-connection-refused purpose=%s"),
    /** The set of evacuated failure domains changed. */
    DOMAINS_EVACUATED(6111, Logger.Level.WARN, "domains-evacuated domains=%s"),
    /** An evacuation object is invalid and evacuates nothing. */
    EVACUATION_REJECTED(6112, Logger.Level.ERROR, "evacuation-rejected name=%s reason=\"%s\""),
    /** The store entry of a server is invalid and names no server to use. */
    SERVER_REJECTED(6114, Logger.Level.WARN, "server-rejected id=%s property=%s"),
    /**
     * The store was restored from a copy, and may have lost what it acknowledged after that copy.
     */
    STORE_RESTORED(6115, Logger.Level.WARN, "store-restored epoch=%s before=%s"),
    /** The store reported no usable epoch, or one that has ended. */
    STORE_EPOCH_IGNORED(6116, Logger.Level.WARN, "store-epoch-ignored epoch=%s newest=%s"),
    /** The entry of another instance, which the restored store had lost, was written again. */
    INSTANCE_RESTORED(6117, Logger.Level.INFO, "instance-restored name=%s epoch=%s"),
    /** This instance recorded that the list of instances is complete in an epoch of the store. */
    INSTANCES_SETTLED(6118, Logger.Level.INFO, "instances-settled epoch=%s others=%s"),
    /** A message to another instance exceeds the size limit and was not sent. */
    PEER_MESSAGE_TOO_LONG(6113, Logger.Level.ERROR, "peer-message-too-long content=%s bytes=%s"),
    /** A primary is suspected to have failed. */
    PRIMARY_SUSPECTED(6201, Logger.Level.WARN, "primary-suspected service=%s server=%s reason=%s"),
    /** A server that was used as the primary refused a statement because it is a replica. */
    PRIMARY_REFUSED(6202, Logger.Level.INFO, "primary-refused service=%s server=%s"),
    /** This instance ordered the promotion of a replica. */
    PROMOTION_ORDERED(
            6203, Logger.Level.WARN, "promotion-ordered service=%s server=%s token=%s received=%s"),
    /** A promotion ended. */
    PROMOTION_ENDED(6204, Logger.Level.INFO, "promotion-ended service=%s outcome=%s took-ms=%s"),
    /** Connections to a primary are relayed through another instance that reaches it. */
    RELAY_USED(6205, Logger.Level.WARN, "relay-used server=%s through=%s"),
    /** A connection of another instance was not relayed. */
    RELAY_REFUSED(6206, Logger.Level.WARN, "relay-refused server=%s reason=\"%s\""),
    /** A replacement of a primary began or ended, or its outcome became known. */
    PRIMARY_FENCED(
            6207,
            Logger.Level.INFO,
            "primary-fenced service=%s token=%s state=%s ordered=%s term=%s"),
    /** The round that confirms whether all instances have stopped using a primary has ended. */
    FENCE_ROUND_ENDED(
            6208,
            Logger.Level.INFO,
            "fence-round-ended service=%s token=%s decision=%s unconfirmed=%s"),
    /** This instance gained or lost the quorum lease that permits the use of primaries. */
    LEAD_LEASE(6209, Logger.Level.WARN, "lead-lease state=%s heard-domains=%s"),
    /**
     * Two servers claim to be the primary of a group, and the one with the newest term is accepted.
     */
    PRIMARY_SETTLED(6210, Logger.Level.WARN, "primary-settled service=%s server=%s term=%s"),
    /** A server that claims to be the primary was asked for its term, and was accepted or not. */
    PRIMARY_VERIFIED(
            6211, Logger.Level.INFO, "primary-verified service=%s server=%s term=%s believed=%s"),
    /**
     * This instance gained or lost the store lease, which permits the use of primaries while the
     * store shows no claim.
     */
    STORE_LEASE(6212, Logger.Level.INFO, "store-lease state=%s claimed=%s reason=\"%s\""),
    /** A promotion call had no answer and was withdrawn; the platform may still execute it. */
    PROMOTION_UNANSWERED(
            6213,
            Logger.Level.WARN,
            "promotion-unanswered service=%s server=%s token=%s reason=\"%s\""),
    /** No replica is promoted, because others that did not answer may hold acknowledged commits. */
    PROMOTION_POSTPONED(6215, Logger.Level.WARN, "promotion-postponed service=%s unanswered=%s"),
    /** The replicas that may hold acknowledged commits were recorded in the store. */
    REPLICAS_RECORDED(
            6216, Logger.Level.INFO, "replicas-recorded service=%s confirm=%s replicas=%s"),
    /** A promotion order that the restored store had lost was written again, or could not be. */
    CLAIM_RESTORED(6214, Logger.Level.INFO, "claim-restored service=%s outcome=\"%s\""),
    /** No server connection was acquired for a request in time. */
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
    /** A request is retried or hedged. */
    REQUEST_RETRIED(
            6304, Logger.Level.INFO, "request-retried request=%s server=%s attempt=%s cause=%s"),
    /** A transaction was rolled back by the gateway. */
    TRANSACTION_ENDED(
            6305, Logger.Level.WARN, "transaction-ended request=%s workspace=%s reason=\"%s\""),
    /** A session was refused when it was opened. */
    SESSION_REFUSED(
            6306,
            Logger.Level.INFO,
            "session-refused database=%s code=%s reason=\"%s\" configuration=%s"),
    /** A server sent an answer that cannot belong to the statement that waits for one. */
    ANSWER_MISMATCHED(
            6307,
            Logger.Level.WARN,
            "answer-mismatched server=%s workspace=%s statement=%s reason=\"%s\""),
    /** Statements were refused because they could not be served by a server in time. */
    STATEMENTS_REFUSED(
            6310,
            Logger.Level.INFO,
            "statements-refused server=%s early=%s displaced=%s expired=%s waiting=%s"),
    /** A server is believed to take much more or less than before. */
    SERVER_CAPACITY(
            6320,
            Logger.Level.INFO,
            "server-capacity service=%s server=%s limit=%s time-percent=%s wait-percent=%s"),
    /** Statements of one priority waited for long or were refused without being sent. */
    STATEMENTS_WAITED(
            6330,
            Logger.Level.INFO,
            "statements-waited priority=%s waited=%s longest-ms=%s request=%s workspace=%s"
                    + " server=%s refused=%s refused-request=%s reason=\"%s\""),
    /** A host gives no sign of life, and other instances are used for some time. */
    HOST_AVOIDED(6401, Logger.Level.WARN, "host-avoided host=%s reason=\"%s\" statements=%s"),
    /** A host announced its exit. */
    HOST_LEAVING(6402, Logger.Level.INFO, "host-leaving host=%s"),
    /** A link to a host was not opened or was lost. */
    HOST_LOST(
            6403, Logger.Level.INFO, "host-lost host=%s reason=\"%s\" statements=%s avoided-ms=%s"),
    /** A thread gets too little processor time, so that its work waits. */
    PROCESSOR_SHORT(6340, Logger.Level.WARN, "processor-short thread=%s delay-ms=%s cpu-ms=%s"),
    /** A thread gets enough processor time again. */
    PROCESSOR_SUFFICIENT(
            6341,
            Logger.Level.INFO,
            "processor-sufficient thread=%s short-ms=%s longest-ms=%s cpu-ms=%s"),
    /** Connections were closed because they held too much of the memory of the process. */
    CONNECTIONS_CLOSED_FOR_MEMORY(
            6350,
            Logger.Level.WARN,
            "connections-closed count=%s reason=%s held-bytes=%s limit-bytes=%s"),
    /** The process was refused memory; connections are closed to make room. */
    MEMORY_REFUSED(6351, Logger.Level.ERROR, "memory-refused held-bytes=%s error=\"%s\""),
    /** A caller was disconnected because it does not read its answers. */
    CALLER_NOT_READING(6352, Logger.Level.WARN, "caller-not-reading unread-bytes=%s"),
    /** More sessions were to be opened than the descriptors of the process permit. */
    TOO_MANY_SESSIONS(6353, Logger.Level.WARN, "too-many-sessions limit=%s"),
    /** More connections of other instances were opened than may be. */
    TOO_MANY_PEER_CONNECTIONS(6354, Logger.Level.WARN, "too-many-peer-connections limit=%s"),
    /** An unexpected error occurred; the process continues. */
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
     * Creates an event. The format uses only {@code %s}, because numeric conversions would load
     * locale data at startup.
     */
    GatewayEvent(int number, Logger.Level level, String format) {
        mNumber = number;
        mLevel = level;
        mFormat = format;
    }

    /** Returns the code of the event, for example {@code PF6001}. */
    public String code() {
        return PREFIX + mNumber;
    }

    /**
     * Logs the event unless its rate limit is exceeded. Arguments must not contain workspace keys.
     */
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
