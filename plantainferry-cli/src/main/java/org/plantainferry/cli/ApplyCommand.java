package org.plantainferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Applies a release note from a file, or shows what it would change. */
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
        ReleaseNoteFile file = ReleaseNoteFile.read(mFile);
        if (file.note().isEmpty()) {
            return file.failure().orElseThrow();
        }
        ReleaseNoteSource source = ReleaseNoteSource.fixed(file.note().get());
        ConfigurationEditor editor = context.openEditor();
        return EditOutcomes.of(
                mDryRun ? editor.preview(source) : editor.apply(source),
                "run the command again with the unchanged file: a note is applied at most once.");
    }

    @Override
    public String example() {
        return "plantainferry --store 10.0.0.5:7400 apply add-workspace.json --dry-run";
    }
}
