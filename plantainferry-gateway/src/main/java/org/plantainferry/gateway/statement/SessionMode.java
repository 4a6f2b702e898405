package org.plantainferry.gateway.statement;

/**
 * Lists the transaction states of a session between statements.
 *
 * @since 0.2
 */
public enum SessionMode {
    /** No transaction is open. */
    IDLE,
    /** A transaction is open. */
    TRANSACTION,
    /** The transaction has failed; only a commit or a rollback, which ends it, is accepted. */
    FAILED_TRANSACTION
}
