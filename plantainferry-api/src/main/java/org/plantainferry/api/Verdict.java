package org.plantainferry.api;

/**
 * Lists what is known about whether a request ran at its target.
 *
 * @since 0.1
 */
public enum Verdict {
    /** The request did not run and will not run; retrying it is safe. */
    NOT_RUN,
    /** The request may have run, may have run in part, or may still run. */
    MAY_HAVE_RUN,
    /** The request ran, and its result is known. */
    RUN;

    /**
     * Returns whether any request, even a write, can be retried without the risk of running twice.
     */
    public boolean isSafeToRetry() {
        return this == NOT_RUN;
    }

    /**
     * Returns the verdict on two attempts of the same request: {@link #RUN} if either ran,
     * otherwise {@link #MAY_HAVE_RUN} if either may have run.
     */
    public Verdict combine(Verdict other) {
        Preconditions.notNull(other, "other");
        if (this == RUN || other == RUN) {
            return RUN;
        }
        return this == MAY_HAVE_RUN ? this : other;
    }
}
