package org.plantainferry.gateway.traffic;

/** Says what a server connection is wanted for. */
enum ConnectionPurpose {
    /** A single write at the primary. */
    WRITE(true, false),
    /** A transaction at the primary. */
    TRANSACTION(true, true),
    /**
     * A single read that must see every acknowledged commit.
     *
     * <p>It runs inside a transaction of this system, because only a statement of a transaction is
     * refused by a server that has lost the lead; a plain read there would show an old log.
     */
    PRIMARY_READ(true, true),
    /** A single read at any server that has the required position. */
    READ(false, false),
    /** A transaction that only reads, at any server that has the required position. */
    READ_TRANSACTION(false, true);

    private final boolean mAtPrimary;
    private final boolean mInTransaction;

    ConnectionPurpose(boolean atPrimary, boolean inTransaction) {
        mAtPrimary = atPrimary;
        mInTransaction = inTransaction;
    }

    boolean isAtPrimary() {
        return mAtPrimary;
    }

    boolean isInTransaction() {
        return mInTransaction;
    }
}
