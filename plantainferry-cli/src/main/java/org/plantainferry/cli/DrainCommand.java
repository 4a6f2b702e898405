package org.plantainferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.store.WriteCondition;

/** Orders an instance to drain. */
@Parameters(commandDescription = "Orders an instance to finish its work and take no more")
final class DrainCommand implements Command {
    private static final String DRAIN_PATH_PREFIX = "drains/";
    private static final int MAX_ATTEMPTS = 10;
    private static final long RETRY_DELAY_MILLIS = 500;

    @ParametersDelegate private final GlobalOptions mOptions;

    @Parameter(description = "INSTANCE", required = true)
    private String mInstance;

    DrainCommand(GlobalOptions options) {
        mOptions = options;
    }

    @Override
    public Outcome run(CommandContext context) {
        InstanceId instance = new InstanceId(mInstance);
        BlockingStoreClient store = context.openStore();
        try {
            if (store.instances().stream().noneMatch(each -> each.id().equals(instance))) {
                return Outcome.refused(
                        "The platform lists no instance " + instance + ".",
                        "check the name with \"plantainferry status\"; a new instance may appear"
                                + " in the list some seconds late.");
            }
        } catch (PlantainferryException e) {
            return unavailable(e);
        }
        return writeOrder(instance, store, context.timeSource());
    }

    @Override
    public String example() {
        return "plantainferry --store 10.0.0.5:7400 drain como-a-3";
    }

    private static Outcome writeOrder(
            InstanceId instance, BlockingStoreClient store, TimeSource timing) {
        boolean uncertain = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                boolean written =
                        store.put(
                                        DRAIN_PATH_PREFIX + instance,
                                        Json.write(new DrainOrder(instance)),
                                        WriteCondition.ABSENT)
                                .isPresent();
                return orderWritten(instance, written || uncertain);
            } catch (PlantainferryException e) {
                if (e.verdict() == Verdict.NOT_RUN && !uncertain) {
                    return unavailable(e);
                }
                // The same order can be written again: only the first one succeeds.
                uncertain = true;
                timing.sleepMillis(RETRY_DELAY_MILLIS);
            }
        }
        return Outcome.unknown(
                "The store did not say whether it took the order.",
                "run the command again; an order that is there already is not repeated.");
    }

    private static Outcome orderWritten(InstanceId instance, boolean written) {
        return Outcome.done(
                        written ? ChangeStatus.YES : ChangeStatus.NO,
                        written
                                ? "Instance " + instance + " is ordered to drain."
                                : "Instance "
                                        + instance
                                        + " was ordered to drain before. Nothing was changed.")
                .withNextStep("watch it with \"plantainferry status\" until it is gone.");
    }

    private static Outcome unavailable(PlantainferryException error) {
        return Outcome.unavailable(
                error.getMessage() + ".",
                "check that the store is up and its address is right, and run the command again.");
    }

    /** Holds the content of a drain order. */
    private record DrainOrder(InstanceId instance) {}
}
