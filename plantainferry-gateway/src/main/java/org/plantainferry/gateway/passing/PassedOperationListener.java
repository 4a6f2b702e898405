package org.plantainferry.gateway.passing;

import org.plantainferry.gateway.peer.generated.PassedAnswer;

/**
 * Listens for the progress of an operation that was passed to a host, on the traffic thread.
 *
 * @since 0.4
 */
public interface PassedOperationListener {
    /** Called with the final answer of the statement in progress. */
    void onAnswer(PassedAnswer answer);

    /**
     * Called when the host has not run the statement in progress; without one, when it has rolled
     * the transaction back.
     */
    void onRefusal(String reason);

    /** Called when the host gives no sign of life while it owes an answer. */
    void onSilence();

    /** Called once when the link is lost, which rolls back a transaction that was not committed. */
    void onLost();
}
