package org.plantainferry.verification.standin.store;

/** Is the body of a refusal. */
record StoreError(String error) {
    static final StoreError OUTAGE = new StoreError("outage");
    static final StoreError CONFLICT = new StoreError("conflict");
    static final StoreError ABSENT = new StoreError("absent");
    static final StoreError TOO_LARGE = new StoreError("too_large");
}
