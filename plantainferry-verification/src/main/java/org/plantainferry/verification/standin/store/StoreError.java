package org.plantainferry.verification.standin.store;

/** Holds the body of an error response. */
record StoreError(String error) {
    static final StoreError OUTAGE = new StoreError("outage");
    static final StoreError CONFLICT = new StoreError("conflict");
    static final StoreError ABSENT = new StoreError("absent");
    static final StoreError TOO_LARGE = new StoreError("too_large");
}
