package org.plantainferry.engine.replacement;

import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;

/**
 * Decides whether the acknowledgement of a write may be passed on to the caller.
 *
 * <p>A new primary is promoted only after this window has passed since a majority of the servers
 * was fenced. An acknowledgement whose statement was sent, or whose majority was asked, less than
 * the window ago therefore comes from a primary that no other has replaced yet. The check is to be
 * made as the last step before the answer is written, with a clock reading of that moment.
 *
 * @since 0.1
 */
public final class AcknowledgementWindow {
    /** The window in milliseconds. */
    public static final long WINDOW_MILLIS = 400;

    /** The window in nanoseconds. */
    public static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);

    private AcknowledgementWindow() {}

    /**
     * Lists what to do with an acknowledgement.
     *
     * @since 0.1
     */
    public enum Decision {
        /** Pass it on now. */
        PASS,
        /** Ask the servers for their states first. */
        CONFIRM
    }

    /**
     * Lists what to do with an acknowledgement after servers were asked for their states.
     *
     * @since 0.1
     */
    public enum Confirmation {
        /** Pass it on now. */
        PASS,
        /** Wait for more answers; a majority has not answered yet. */
        WAIT,
        /** Ask again; the answers took longer than the window. */
        REPEAT,
        /** Answer that the write may have run; a newer term exists. */
        UNKNOWN
    }

    /** Decides on an acknowledgement whose statement was sent at a time. */
    public static Decision decide(long sentNanos, long nowNanos) {
        return nowNanos - sentNanos < WINDOW_NANOS ? Decision.PASS : Decision.CONFIRM;
    }

    /**
     * Decides after servers have answered.
     *
     * @param term the term of the acknowledged write
     * @param terms the terms of the servers that have answered, one for each server
     * @param servers the number of servers in the group
     * @param askedNanos when the first of these requests was sent
     */
    public static Confirmation confirm(
            long term, Collection<Long> terms, int servers, long askedNanos, long nowNanos) {
        Preconditions.condition(servers >= 1, "servers must be at least 1");
        if (terms.stream().anyMatch(each -> each > term)) {
            return Confirmation.UNKNOWN;
        }
        if (nowNanos - askedNanos >= WINDOW_NANOS) {
            return Confirmation.REPEAT;
        }
        long same = terms.stream().filter(each -> each == term).count();
        return same > servers / 2 ? Confirmation.PASS : Confirmation.WAIT;
    }
}
