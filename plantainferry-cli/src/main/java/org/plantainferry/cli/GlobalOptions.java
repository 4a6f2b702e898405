package org.plantainferry.cli;

import com.beust.jcommander.Parameter;

/** Holds the options that are accepted before and after any command. */
final class GlobalOptions {
    @Parameter(names = "--store", description = "HOST:PORT of the platform's store")
    private String mStore;

    @Parameter(
            names = "--instance",
            description = "HOST:PORT of the operators' endpoint of any instance, for status")
    private String mInstance;

    @Parameter(names = "--output", description = "human, or json for one JSON object")
    private OutputFormat mOutput = OutputFormat.HUMAN;

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Show help with examples")
    private boolean mHelp;

    String store() {
        return mStore;
    }

    String instance() {
        return mInstance;
    }

    OutputFormat output() {
        return mOutput;
    }

    boolean isHelp() {
        return mHelp;
    }
}
