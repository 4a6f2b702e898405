package org.plantainferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.daemon.settings.DaemonSettings;
import org.plantainferry.daemon.settings.SessionSecrets;
import org.plantainferry.daemon.settings.SettingsReader;
import org.plantainferry.daemon.settings.TlsContexts;

/**
 * Checks a settings file of the daemon and the files that it names, without starting a daemon; or a
 * release note and the configuration that it leads to, without applying it.
 */
@Parameters(
        commandDescription =
                "Checks a settings file of the daemon and the files that it names, or a release"
                        + " note before it is applied")
final class CheckCommand implements Command {
    @Parameter(description = "SETTINGS")
    private String mSettings;

    @Parameter(
            names = "--note",
            description = "Release note to check against the configuration in force")
    private String mNote;

    /** Holds what is wrong with a valid configuration, and its differences, for JSON output. */
    private record NoteData(List<String> findings, List<PartDifference> differences) {}

    @Override
    public Outcome run(CommandContext context) {
        if ((mSettings == null) == (mNote == null)) {
            return Outcome.badUsage(
                    "Either a settings file or a release note is needed.",
                    "name a settings file, or a release note with --note.");
        }
        return mNote == null ? checkSettings() : checkNote(context);
    }

    private Outcome checkSettings() {
        try {
            DaemonSettings settings = SettingsReader.read(Path.of(mSettings));
            SessionSecrets.readCodec(settings.sessionSecretFiles());
            settings.tls().ifPresent(TlsContexts::read);
            return Outcome.done(
                    ChangeStatus.NO,
                    "The settings of instance " + settings.instance() + " are valid.");
        } catch (PlantainferryException e) {
            return Outcome.badUsage(
                    e.getMessage(), "correct the settings and run the command again.");
        }
    }

    private Outcome checkNote(CommandContext context) {
        ReleaseNoteFile file = ReleaseNoteFile.read(mNote);
        if (file.note().isEmpty()) {
            return file.failure().orElseThrow();
        }
        EditResult result =
                context.openEditor().preview(ReleaseNoteSource.fixed(file.note().get()));
        Outcome outcome = EditOutcomes.of(result, "run the command again.");
        if (result.kind() != EditResult.Kind.WOULD_APPLY) {
            return outcome;
        }
        List<String> findings = ConfigurationReview.findingsOf(result.next());
        List<String> lines = new ArrayList<>(outcome.details());
        findings.forEach(finding -> lines.add("! " + finding));
        return Outcome.done(
                        ChangeStatus.NO,
                        outcome.message() + " Findings in that version: " + findings.size() + ".")
                .withDetails(
                        lines,
                        new NoteData(
                                findings,
                                ConfigurationComparison.between(
                                        result.base().parts(), result.next().parts())));
    }

    @Override
    public String example() {
        return "plantainferry check /etc/plantainferry/plantainferryd.json";
    }
}
