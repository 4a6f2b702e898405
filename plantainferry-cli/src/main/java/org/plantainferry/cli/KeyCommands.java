package org.plantainferry.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Holds the options of the {@code key} command, which has the key commands as subcommands. */
@Parameters(commandDescription = "Gives or withdraws a key")
final class KeyCommands {
    @ParametersDelegate private final GlobalOptions mOptions;

    KeyCommands(GlobalOptions options) {
        mOptions = options;
    }
}
