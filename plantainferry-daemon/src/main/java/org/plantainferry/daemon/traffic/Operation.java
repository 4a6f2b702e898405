package org.plantainferry.daemon.traffic;

/**
 * Lists the operations that a caller can request.
 *
 * @since 0.1
 */
public enum Operation {
    /** Runs one statement on its own. */
    STATEMENT("statement"),
    /** Opens a transaction. */
    BEGIN("begin"),
    /** Runs a statement inside a transaction. */
    TRANSACTION_STATEMENT("transaction-statement"),
    /** Commits a transaction. */
    COMMIT("commit"),
    /** Rolls a transaction back. */
    ROLLBACK("rollback");

    private final String mWireName;

    Operation(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name of the operation in messages between instances. */
    public String wireName() {
        return mWireName;
    }

    /** Returns whether the operation belongs to a transaction that is already open. */
    public boolean isInsideTransaction() {
        return this == TRANSACTION_STATEMENT || this == COMMIT || this == ROLLBACK;
    }
}
