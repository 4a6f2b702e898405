package org.plantainferry.cli;

import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ReleaseNote;

/** Provides the release note that a command applies. */
interface ReleaseNoteSource {
    /** Returns the identifier of the note, the same for every version. */
    String noteId();

    /** Returns the note; one that the command writes itself is written against this version. */
    ReleaseNote noteFor(Configuration configuration);

    /** Returns a note from a file, whatever version it was written against. */
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
