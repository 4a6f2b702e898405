package org.plantainferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.daemon.settings.DaemonSettings;
import org.plantainferry.daemon.settings.SessionSecrets;
import org.plantainferry.daemon.settings.SettingsReader;
import org.plantainferry.daemon.settings.TlsContexts;

/** Checks a settings file of the daemon and the files that it names, without starting a daemon. */
@Parameters(commandDescription = "Checks a settings file of the daemon and the files that it names")
final class CheckCommand implements Command {
    @Parameter(description = "SETTINGS", required = true)
    private String mSettings;

    @Override
    public Outcome run(CommandContext context) {
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

    @Override
    public String example() {
        return "plantainferry check /etc/plantainferry/plantainferryd.json";
    }
}
