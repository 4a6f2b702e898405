package org.plantainferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.configuration.ReleaseNote;
import org.plantainferry.api.json.Json;

/** Applies a release note from a file. */
@Parameters(commandDescription = "Applies a release note, or shows what it would change")
final class ApplyCommand implements Command {
    @ParametersDelegate private final GlobalOptions mOptions;

    @Parameter(description = "NOTE", required = true)
    private String mFile;

    @Parameter(names = "--dry-run", description = "Show the difference and change nothing")
    private boolean mDryRun;

    ApplyCommand(GlobalOptions options) {
        mOptions = options;
    }

    @Override
    public Outcome run(CommandContext context) {
        ReleaseNote note;
        try {
            note =
                    Json.readWithComments(
                            Files.readString(Path.of(mFile), StandardCharsets.UTF_8),
                            ReleaseNote.class,
                            ErrorCode.CONFIGURATION_INVALID);
        } catch (IOException | PlantainferryException | IllegalArgumentException e) {
            return Outcome.badUsage(
                    "Cannot read the release note " + mFile + ": " + reason(e),
                    "correct the file, and run the command again.");
        }
        ReleaseNoteSource source = ReleaseNoteSource.fixed(note);
        ConfigurationEditor editor = context.openEditor();
        return EditOutcomes.of(
                mDryRun ? editor.preview(source) : editor.apply(source),
                "apply the same file again, unchanged: a note is never applied twice.");
    }

    @Override
    public String example() {
        return "plantainferry --store 10.0.0.5:7400 apply add-workspace.json --dry-run";
    }

    private static String reason(Exception error) {
        return error instanceof IOException
                ? error.getClass().getSimpleName() + " " + error.getMessage()
                : error.getMessage();
    }
}
