package org.plantainferry.cli;

import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ReleaseNote;

/** Provides the release note that a command applies. */
interface ReleaseNoteSource {
    /** Returns the identifier of the note; it is the same for every configuration. */
    String noteId();

    /** Returns the note to apply; a generated note is written against this configuration. */
    ReleaseNote noteFor(Configuration configuration);

    /** Returns a source that provides the same note for every configuration. */
    static ReleaseNoteSource fixed(ReleaseNote note) {
        return new ReleaseNoteSource() {
            @Override
            public String noteId() {
                return note.id();
            }

            @Override
            public ReleaseNote noteFor(Configuration configuration) {
                return note;
            }
        };
    }
}
