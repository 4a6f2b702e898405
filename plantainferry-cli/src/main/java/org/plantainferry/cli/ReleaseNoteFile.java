package org.plantainferry.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.configuration.ReleaseNote;
import org.plantainferry.api.json.Json;

/**
 * Holds a release note that was read from a file, or the outcome of a command that cannot read it.
 *
 * @param note the note; empty when it cannot be read
 * @param failure the outcome; empty when the note was read
 */
record ReleaseNoteFile(Optional<ReleaseNote> note, Optional<Outcome> failure) {
    /** Reads a note from a file in JSON with comments. */
    static ReleaseNoteFile read(String file) {
        try {
            ReleaseNote note =
                    Json.readWithComments(
                            Files.readString(Path.of(file), StandardCharsets.UTF_8),
                            ReleaseNote.class,
                            ErrorCode.CONFIGURATION_INVALID);
            return new ReleaseNoteFile(Optional.of(note), Optional.empty());
        } catch (IOException | PlantainferryException | IllegalArgumentException e) {
            Outcome failure =
                    Outcome.badUsage(
                            "Cannot read the release note " + file + ": " + reason(e),
                            "correct the file, and run the command again.");
            return new ReleaseNoteFile(Optional.empty(), Optional.of(failure));
        }
    }

    private static String reason(Exception error) {
        return error instanceof IOException
                ? error.getClass().getSimpleName() + " " + error.getMessage()
                : error.getMessage();
    }
}
