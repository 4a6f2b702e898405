package org.plantainferry.verification.history;

/**
 * Lists the operations of callers.
 *
 * @since 0.1
 */
public enum Operation {
    /** A read outside transactions. */
    READ,
    /** A read on a route that needs no key. */
    OPEN_READ,
    /** A write outside transactions. */
    WRITE,
    /** The opening of a transaction. */
    BEGIN,
    /** A read in a transaction. */
    TRANSACTION_READ,
    /** A write in a transaction. */
    TRANSACTION_WRITE,
    /** The commit of a transaction. */
    COMMIT,
    /** The rollback of a transaction. */
    ROLLBACK;

    /** Returns whether the operation reads one value outside transactions. */
    public boolean isPlainRead() {
        return this == READ || this == OPEN_READ;
    }

    /** Returns whether the operation takes part in a transaction that is already open. */
    public boolean isInsideTransaction() {
        return ordinal() > BEGIN.ordinal();
    }

    /** Returns whether the operation counts against the rate; ending a transaction does not. */
    public boolean isCharged() {
        return this != COMMIT && this != ROLLBACK;
    }
}
