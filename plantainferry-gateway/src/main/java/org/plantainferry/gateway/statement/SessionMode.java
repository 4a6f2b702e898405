package org.plantainferry.gateway.statement;

/**
 * Says where a session stands between statements.
 *
 * @since 0.2
 */
public enum SessionMode {
    /** No transaction is open. */
    IDLE,
    /** A transaction is open. */
    TRANSACTION,
    /** The transaction has failed; only its end is accepted. */
    FAILED_TRANSACTION
}
