package org.plantainferry.verification.history;

/**
 * Lists the ways in which a call ends for its client.
 *
 * @since 0.1
 */
public enum Outcome {
    /** An answer arrived. */
    ANSWERED,
    /** No connection could be opened, so nothing was sent. */
    NOT_SENT,
    /** The connection ended without an answer after the request was sent. */
    CUT,
    /** The client stopped waiting, well after the deadline. */
    TIMEOUT
}
