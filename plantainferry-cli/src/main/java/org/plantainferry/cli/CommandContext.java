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
    private final Consumer<String> mProgress;

    /**
     * Holds the connections of the program to the outside.
     *
     * @param stores opens the store at an address, once
     * @param instances reads the status of instances
     * @param timing provides time
     */
    record Environment(
            Function<String, PlatformStore> stores,
            InstanceStatusReader instances,
            TimeSource timing) {}

    CommandContext(GlobalOptions options, Environment environment, Consumer<String> progress) {
        mOptions = options;
        mEnvironment = environment;
        mProgress = progress;
    }

    BlockingStoreClient store() {
        Preconditions.condition(
                mOptions.store() != null, "this command needs --store HOST:PORT of the store");
        return new BlockingStoreClient(mEnvironment.stores().apply(mOptions.store()));
    }

    ConfigurationEditor editor() {
        return new ConfigurationEditor(store(), mEnvironment.timing());
    }

    GlobalOptions options() {
        return mOptions;
    }

    InstanceStatusReader instances() {
        return mEnvironment.instances();
    }

    TimeSource timing() {
        return mEnvironment.timing();
    }

    /** Shows a line while the command runs; it is no part of the result. */
    void progress(String line) {
        mProgress.accept(line);
    }
}
