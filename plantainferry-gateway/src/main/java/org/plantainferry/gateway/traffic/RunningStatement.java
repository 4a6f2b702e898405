package org.plantainferry.gateway.traffic;

/** Represents a statement of a caller that is in progress. */
interface RunningStatement {
    /**
     * Ends the statement with a final result now. Does nothing if it has ended.
     *
     * <p>A statement that was not sent is refused as not run. One that was sent ends like one whose
     * server did not answer in time.
     */
    void abandon(String reason);

    /** Ends the statement if it was not sent yet, because its caller has closed the session. */
    default void onCallerLeft() {}
}
