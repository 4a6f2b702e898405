package org.plantainferry.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.configuration.Configuration;

/** Lists the latest release notes. */
@Parameters(commandDescription = "Lists the latest versions and the release notes behind them")
final class HistoryCommand implements Command {
    @ParametersDelegate private final GlobalOptions mOptions;

    HistoryCommand(GlobalOptions options) {
        mOptions = options;
    }

    @Override
    public Outcome run(CommandContext context) {
        Configuration configuration;
        try {
            configuration = CurrentConfiguration.read(context.openStore()).configuration();
        } catch (PlantainferryException e) {
            return failed(e);
        }
        List<AppliedNote> notes = new ArrayList<>();
        long version = configuration.version() - configuration.notes().size();
        for (String note : configuration.notes()) {
            version++;
            notes.add(new AppliedNote(version, note));
        }
        return Outcome.done(
                        ChangeStatus.NO, "Version " + configuration.version() + " is in the store.")
                .withDetails(
                        notes.stream()
                                .map(each -> "version " + each.version() + ": " + each.note())
                                .toList(),
                        new History(configuration.version(), notes));
    }

    @Override
    public String example() {
        return "plantainferry --store 10.0.0.5:7400 history";
    }

    private static Outcome failed(PlantainferryException error) {
        if (error.code() == ErrorCode.ARGUMENT_INVALID) {
            throw error;
        }
        if (error.code() == ErrorCode.CONFIGURATION_INVALID) {
            return Outcome.refused(
                    "The configuration in the store cannot be read: " + error.getMessage() + ".",
                    "report this to the developers; instances keep the last version they read.");
        }
        return Outcome.unavailable(
                error.getMessage() + ".",
                "check that the store is up and its address is right, and run the command again.");
    }

    private record AppliedNote(long version, String note) {}

    private record History(long version, List<AppliedNote> notes) {}
}
