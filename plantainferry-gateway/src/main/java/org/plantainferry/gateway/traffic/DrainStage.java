package org.plantainferry.gateway.traffic;

/** Lists the stages of a drain, in their order. */
enum DrainStage {
    /** No drain has begun. */
    SERVING,
    /** Each session is closed as soon as it is idle, and new sessions are refused. */
    CLOSING_IDLE_SESSIONS,
    /** New operations are refused, and a transaction ends with its statement in progress. */
    ENDING_OPERATIONS,
    /** Nothing is waited for any more, because the process is about to exit. */
    ENDING_STATEMENTS;

    boolean hasReached(DrainStage stage) {
        return compareTo(stage) >= 0;
    }
}
