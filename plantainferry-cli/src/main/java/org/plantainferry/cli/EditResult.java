package org.plantainferry.cli;

import org.plantainferry.api.configuration.Configuration;

/**
 * Holds the result of applying a release note, or of previewing it.
 *
 * @param kind the kind of the result
 * @param base the configuration before the note; {@link Configuration#EMPTY} when it is not known
 * @param next the configuration after the note when the note can be applied; else {@code base}
 * @param message what happened, beginning in lower case
 */
record EditResult(Kind kind, Configuration base, Configuration next, String message) {
    /** Lists the kinds of results. */
    enum Kind {
        /** The note was applied. */
        APPLIED,
        /** The note had been applied before the command. */
        ALREADY_APPLIED,
        /** The note can be applied, but only a preview was requested. */
        WOULD_APPLY,
        /** The note was written against another version. */
        CONFLICT,
        /** The note cannot be applied to the current version. */
        REFUSED,
        /** The store was not available, and no change was made. */
        UNAVAILABLE,
        /** The store did not confirm whether the change was made. */
        UNKNOWN
    }

    /** Returns a result that does not change the configuration. */
    static EditResult of(Kind kind, Configuration base, String message) {
        return new EditResult(kind, base, base, message);
    }
}
