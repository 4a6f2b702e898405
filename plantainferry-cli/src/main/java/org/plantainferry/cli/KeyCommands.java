package org.plantainferry.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Groups the commands for keys. */
@Parameters(commandDescription = "Gives or withdraws a key")
final class KeyCommands {
    @ParametersDelegate private final GlobalOptions mOptions;

    KeyCommands(GlobalOptions options) {
        mOptions = options;
    }
}
