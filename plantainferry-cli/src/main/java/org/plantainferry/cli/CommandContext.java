package org.plantainferry.cli;

import java.util.function.Consumer;
import java.util.function.Function;
import org.plantainferry.api.Preconditions;
import org.plantainferry.network.operator.InstanceStatusReader;
import org.plantainferry.network.store.PlatformStore;

/** Gives a command what it needs besides its arguments. */
final class CommandContext {
    private final GlobalOptions mOptions;
    private final Environment mEnvironment;
    private final Consumer<String> mProgressOutput;

    /**
     * Holds the connections of the program to the outside.
     *
     * @param stores opens the store at an address, once
     * @param statusReader reads the status of instances
     * @param timeSource provides time
     */
    record Environment(
            Function<String, PlatformStore> storeFactory,
            InstanceStatusReader statusReader,
            TimeSource timeSource) {}

    CommandContext(GlobalOptions options, Environment environment, Consumer<String> progress) {
        mOptions = options;
        mEnvironment = environment;
        mProgressOutput = progress;
    }

    BlockingStoreClient openStore() {
        Preconditions.condition(
                mOptions.store() != null, "this command needs --store HOST:PORT of the store");
        return new BlockingStoreClient(mEnvironment.storeFactory().apply(mOptions.store()));
    }

    ConfigurationEditor openEditor() {
        return new ConfigurationEditor(openStore(), mEnvironment.timeSource());
    }

    GlobalOptions options() {
        return mOptions;
    }

    InstanceStatusReader statusReader() {
        return mEnvironment.statusReader();
    }

    TimeSource timeSource() {
        return mEnvironment.timeSource();
    }

    /** Shows a line while the command runs; it is no part of the result. */
    void printProgress(String line) {
        mProgressOutput.accept(line);
    }
}
