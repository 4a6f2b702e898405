package org.plantainferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.WithdrawnParts;

/** Withdraws a key of a workspace. */
@Parameters(commandDescription = "Withdraws a key of a workspace")
final class KeyWithdrawCommand implements Command {
    @ParametersDelegate private final GlobalOptions mOptions;

    @Parameter(description = "WORKSPACE KEY_ID", required = true)
    private List<String> mArguments = new ArrayList<>();

    private final SecureRandom mRandom;

    KeyWithdrawCommand(GlobalOptions options, SecureRandom random) {
        mOptions = options;
        mRandom = random;
    }

    @Override
    public Outcome run(CommandContext context) {
        Preconditions.condition(
                mArguments.size() == 2, "key withdraw needs two arguments: WORKSPACE KEY_ID");
        String keyId = Preconditions.validName(mArguments.get(1), "KEY_ID");
        WithdrawnParts.KeyReference reference =
                new WithdrawnParts.KeyReference(new WorkspaceName(mArguments.get(0)), keyId);
        EditResult result =
                context.openEditor()
                        .apply(
                                new KeyNoteSource("withdraw-key", keyId, mRandom) {
                                    @Override
                                    WithdrawnParts withdrawn() {
                                        return new WithdrawnParts(
                                                null, null, null, null, List.of(reference));
                                    }
                                });
        return EditOutcomes.of(
                result,
                "run the command again; when it says that there is no such key, the key is"
                        + " withdrawn.");
    }

    @Override
    public String example() {
        return "plantainferry --store 10.0.0.5:7400 key withdraw counter-como bench-7";
    }
}
