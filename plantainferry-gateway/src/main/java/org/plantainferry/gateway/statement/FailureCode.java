package org.plantainferry.gateway.statement;

/**
 * Lists the refusals and failures of statements.
 *
 * @since 0.2
 */
public enum FailureCode {
    /** No capacity now; nothing of the attempt is kept. */
    BUSY(Effect.NOTHING_KEPT, true),
    /** The transaction was rolled back; nothing of it is kept. */
    ABORTED(Effect.NOTHING_KEPT, false),
    /** The server lacks the required log position; not run. */
    BEHIND(Effect.NOTHING_KEPT, true),
    /** The server is not the primary; not run. */
    NOT_PRIMARY(Effect.NOTHING_KEPT, true),
    /** The server has another name or id; not run. */
    WRONG_SERVER(Effect.NOTHING_KEPT, true),
    /** The server has no connection left; not run. */
    TOO_MANY_CONNECTIONS(Effect.NOTHING_KEPT, true),
    /** The prepared statement is unknown; not run. */
    UNKNOWN_PREPARED(Effect.NOTHING_KEPT, true),
    /** The statement ran and failed. */
    FAILED(Effect.UNKNOWN, false),
    /** The statement ran and was given up. */
    TIMED_OUT(Effect.UNKNOWN, false),
    /** A commit or a single write was sent and its answer is missing. */
    OUTCOME_UNKNOWN(Effect.UNKNOWN, false),
    /** The statement is not understood or not allowed now. */
    MALFORMED(Effect.UNKNOWN, false),
    /** The key is unknown or withdrawn. */
    KEY_REFUSED(Effect.UNKNOWN, false),
    /** No route has the name of the database. */
    UNKNOWN_DATABASE(Effect.UNKNOWN, false),
    /** A code that this version does not know. */
    OTHER(Effect.UNKNOWN, false);

    private enum Effect {
        NOTHING_KEPT,
        UNKNOWN
    }

    private final Effect mEffect;
    private final boolean mNotRun;

    FailureCode(Effect effect, boolean notRun) {
        mEffect = effect;
        mNotRun = notRun;
    }

    /** Returns whether the code promises that nothing of the caller's attempt is kept. */
    public boolean guaranteesNoEffect() {
        return mEffect == Effect.NOTHING_KEPT;
    }

    /** Returns whether a server that answers with the code has not run the statement. */
    public boolean isNotRun() {
        return mNotRun;
    }
}
