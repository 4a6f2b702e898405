package org.plantainferry.engine.replacement;

import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;

/**
 * Decides whether the acknowledgement of a write may be forwarded to the caller.
 *
 * <p>A new primary is promoted only after this window has passed since a majority of the servers
 * was fenced. If the statement was sent, or a majority of the servers was asked for its term, less
 * than the window ago, the acknowledging primary has therefore not been replaced yet. Callers make
 * this check as the last step before they write the answer, with a clock reading taken then.
 *
 * @since 0.1
 */
public final class AcknowledgementWindow {
    /** Time after the sending of a request during which its answer proves the primary, in ms. */
    public static final long WINDOW_MILLIS = 400;

    /** {@link #WINDOW_MILLIS} in nanoseconds. */
    public static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);

    private AcknowledgementWindow() {}

    /**
     * Lists the decisions on an acknowledgement.
     *
     * @since 0.1
     */
    public enum Decision {
        /** Forward it immediately. */
        PASS,
        /** Ask the servers for their states first. */
        CONFIRM
    }

    /**
     * Lists the decisions on an acknowledgement after servers were asked for their states.
     *
     * @since 0.1
     */
    public enum Confirmation {
        /** Forward it immediately. */
        PASS,
        /** Wait for more answers; a majority has not answered yet. */
        WAIT,
        /** Ask again; the answers took longer than the window. */
        REPEAT,
        /** Report that the write may have run; a newer term exists. */
        UNKNOWN
    }

    /** Decides on an acknowledgement whose statement was sent at {@code sentNanos}. */
    public static Decision decide(long sentNanos, long nowNanos) {
        return nowNanos - sentNanos < WINDOW_NANOS ? Decision.PASS : Decision.CONFIRM;
    }

    /**
     * Decides on an acknowledgement from the terms of the servers that have answered.
     *
     * @param term the term of the acknowledged write
     * @param terms the terms reported so far, at most one for each server
     * @param servers the number of servers in the group
     * @param askedNanos when the first of the state requests was sent
     */
    public static Confirmation confirm(
            long term, Collection<Long> terms, int servers, long askedNanos, long nowNanos) {
        Preconditions.condition(servers >= 1, "servers must be at least 1");
        if (terms.stream().anyMatch(reported -> reported > term)) {
            return Confirmation.UNKNOWN;
        }
        if (nowNanos - askedNanos >= WINDOW_NANOS) {
            return Confirmation.REPEAT;
        }
        long confirming = terms.stream().filter(reported -> reported == term).count();
        return confirming > servers / 2 ? Confirmation.PASS : Confirmation.WAIT;
    }
}
