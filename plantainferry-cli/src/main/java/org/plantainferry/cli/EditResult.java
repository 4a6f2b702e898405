package org.plantainferry.cli;

import org.plantainferry.api.configuration.Configuration;

/**
 * Holds what became of a release note.
 *
 * @param kind what became of it
 * @param base the version that was in force; the empty one when the store did not tell
 * @param next the version that the note leads to, when it fits; else the same as {@code base}
 * @param message what happened
 */
record EditResult(Kind kind, Configuration base, Configuration next, String message) {
    /** Lists what can become of a release note. */
    enum Kind {
        /** It is in force. */
        APPLIED,
        /** It was in force before the command. */
        ALREADY_APPLIED,
        /** It fits, but nothing was to be changed. */
        WOULD_APPLY,
        /** It was written against another version. */
        CONFLICT,
        /** It does not fit the version in force. */
        REFUSED,
        /** The store did not answer before anything was sent. */
        UNAVAILABLE,
        /** The store did not say whether it took the change. */
        UNKNOWN
    }

    static EditResult of(Kind kind, Configuration base, String message) {
        return new EditResult(kind, base, base, message);
    }
}
