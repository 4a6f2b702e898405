package org.plantainferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.CallerKey;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.WorkspaceKey;

/** Gives a workspace a new key. */
@Parameters(commandDescription = "Gives a workspace a new key and shows it once")
final class KeyGiveCommand implements Command {
    private static final int KEY_BYTES = 32;

    @ParametersDelegate private final GlobalOptions mOptions;

    @Parameter(description = "WORKSPACE KEY_ID", required = true)
    private List<String> mArguments = new ArrayList<>();

    private final SecureRandom mRandom;

    KeyGiveCommand(GlobalOptions options, SecureRandom random) {
        mOptions = options;
        mRandom = random;
    }

    @Override
    public Outcome run(CommandContext context) {
        Preconditions.condition(
                mArguments.size() == 2, "key give needs two arguments: WORKSPACE KEY_ID");
        WorkspaceName workspace = new WorkspaceName(mArguments.get(0));
        String keyId = Preconditions.validName(mArguments.get(1), "KEY_ID");
        byte[] bytes = new byte[KEY_BYTES];
        mRandom.nextBytes(bytes);
        String key = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        WorkspaceKey given = new WorkspaceKey(workspace, keyId, CallerKey.hash(key));
        EditResult result =
                context.openEditor()
                        .apply(
                                new KeyNoteSource("give-key", keyId, mRandom) {
                                    @Override
                                    ConfigurationParts added() {
                                        return new ConfigurationParts(
                                                null, null, null, null, List.of(given));
                                    }
                                });
        Outcome outcome =
                EditOutcomes.of(
                        result,
                        "the new key is not shown. Run \"plantainferry key withdraw "
                                + workspace
                                + " "
                                + keyId
                                + "\"; when it is done or says that there is no such key, give a"
                                + " key again.");
        if (result.kind() != EditResult.Kind.APPLIED) {
            return outcome;
        }
        return outcome.withDetails(
                List.of("Key of workspace " + workspace + ", shown only now: " + key),
                new GivenKey(workspace, keyId, key, result.next().version()));
    }

    @Override
    public String example() {
        return "plantainferry --store 10.0.0.5:7400 key give counter-como bench-7";
    }

    private record GivenKey(WorkspaceName workspace, String keyId, String key, long toVersion) {}
}
