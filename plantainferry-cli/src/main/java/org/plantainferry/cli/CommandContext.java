package org.plantainferry.cli;

import java.util.function.Consumer;
import java.util.function.Function;
import org.plantainferry.api.Preconditions;
import org.plantainferry.network.operator.InstanceStatusReader;
import org.plantainferry.network.store.PlatformStore;

/** Provides the global options and external services that a command uses. */
final class CommandContext {
    private final GlobalOptions mOptions;
    private final Environment mEnvironment;
    private final Consumer<String> mProgressOutput;

    /**
     * Holds the external services of the program, which tests replace.
     *
     * @param storeFactory opens the store at an address; called at most once for a command
     * @param statusReader reads the status of instances
     * @param timeSource provides the time and sleeps
     */
    record Environment(
            Function<String, PlatformStore> storeFactory,
            InstanceStatusReader statusReader,
            TimeSource timeSource) {}

    CommandContext(
            GlobalOptions options, Environment environment, Consumer<String> progressOutput) {
        mOptions = options;
        mEnvironment = environment;
        mProgressOutput = progressOutput;
    }

    /**
     * Opens the store that {@code --store} names.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code ARGUMENT_INVALID} when the
     *     option is missing
     */
    BlockingStoreClient openStore() {
        Preconditions.condition(
                mOptions.store() != null, "this command needs --store HOST:PORT of the store");
        return new BlockingStoreClient(mEnvironment.storeFactory().apply(mOptions.store()));
    }

    /** Opens the store as {@link #openStore()} does, to edit its configuration. */
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

    /** Prints a progress line to the error output; it is not part of the result. */
    void printProgress(String line) {
        mProgressOutput.accept(line);
    }
}
