package org.plantainferry.gateway.traffic;

/** Lists the purposes for which a server connection is acquired. */
enum ConnectionPurpose {
    /** A single write on the primary. */
    WRITE(true, false),
    /** A transaction on the primary. */
    TRANSACTION(true, true),
    /**
     * A single read that must observe every acknowledged commit.
     *
     * <p>It runs inside a transaction that the gateway begins, because a demoted primary refuses
     * only the statements of transactions; a plain read there would return stale data.
     */
    PRIMARY_READ(true, true),
    /** A single read on any server that has the required log position. */
    READ(false, false),
    /** A read-only transaction on any server that has the required log position. */
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
