package org.plantainferry.api;

/**
 * Says whether a request may have run at its target.
 *
 * @since 0.1
 */
public enum Verdict {
    /** The request did not run and will not run; repeating it is safe. */
    NOT_RUN,
    /** The request may have run, run in part, or may still run. */
    MAY_HAVE_RUN,
    /** The request ran, and its result is known. */
    RUN;

    /** Returns whether any request can be sent again without the risk that it runs twice. */
    public boolean isSafeToRetry() {
        return this == NOT_RUN;
    }

    /** Returns the verdict on two attempts of the same request, the less certain of the two. */
    public Verdict combine(Verdict other) {
        Preconditions.notNull(other, "other");
        if (this == RUN || other == RUN) {
            return RUN;
        }
        return this == MAY_HAVE_RUN ? this : other;
    }
}
