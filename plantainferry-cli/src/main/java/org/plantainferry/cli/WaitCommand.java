package org.plantainferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.network.store.InstanceRecord;

/** Waits until a configuration version is in force on all listed instances. */
@Parameters(commandDescription = "Waits until a configuration version is in force on all instances")
final class WaitCommand implements Command {
    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final long DEFAULT_TIMEOUT_SECONDS = 60;
    private static final int MAX_INSTANCES_SHOWN = 5;

    @ParametersDelegate private final GlobalOptions mOptions;

    @Parameter(names = "--version", description = "The version to wait for", required = true)
    private long mVersion;

    @Parameter(names = "--timeout", description = "Seconds to wait at most")
    private long mTimeoutSeconds = DEFAULT_TIMEOUT_SECONDS;

    WaitCommand(GlobalOptions options) {
        mOptions = options;
    }

    @Override
    public Outcome run(CommandContext context) {
        Preconditions.condition(mVersion >= 1, "--version must be at least 1");
        Preconditions.condition(mTimeoutSeconds >= 1, "--timeout must be at least 1");
        return new VersionWait(context, mVersion, mTimeoutSeconds).run();
    }

    @Override
    public String example() {
        return "plantainferry --store 10.0.0.5:7400 wait --version 18 --timeout 30";
    }

    /** Polls the instances until all have the version or the timeout has passed. */
    private static final class VersionWait {
        private final CommandContext mContext;
        private final BlockingStoreClient mStore;
        private final FleetStatusReader mStatusReader;
        private final long mVersion;
        private final long mTimeoutSeconds;
        private List<InstanceRecord> mInstances = List.of();
        private String mStoreError = "";
        private String mLastProgress = "";

        VersionWait(CommandContext context, long version, long timeoutSeconds) {
            mContext = context;
            mStore = context.openStore();
            mStatusReader = new FleetStatusReader(context.statusReader());
            mVersion = version;
            mTimeoutSeconds = timeoutSeconds;
        }

        Outcome run() {
            TimeSource timing = mContext.timeSource();
            long start = timing.nowNanos();
            long timeoutNanos = TimeUnit.SECONDS.toNanos(mTimeoutSeconds);
            while (true) {
                refreshInstances();
                List<FleetStatusReader.InstanceResult> results = mStatusReader.read(mInstances);
                List<FleetStatusReader.InstanceResult> pending =
                        results.stream().filter(this::isAwaited).toList();
                if (!mInstances.isEmpty() && pending.isEmpty()) {
                    return Outcome.done(
                            ChangeStatus.NO,
                            "Version "
                                    + mVersion
                                    + " or a later one is in force on all "
                                    + mInstances.size()
                                    + " listed instances.");
                }
                showProgress(pending);
                if (timing.nowNanos() - start >= timeoutNanos) {
                    return timedOut(pending);
                }
                timing.sleepMillis(POLL_INTERVAL_MILLIS);
            }
        }

        private void refreshInstances() {
            try {
                mInstances = mStore.instances();
                mStoreError = "";
            } catch (PlantainferryException e) {
                // Instances also pass versions to each other, so the last list remains usable.
                mStoreError = e.getMessage();
            }
        }

        private boolean isAwaited(FleetStatusReader.InstanceResult result) {
            // A leaving instance that does not answer has ended; the platform's list lags behind.
            boolean ended = result.isLeaving() && result.status().isEmpty();
            return !ended && !result.hasVersion(mVersion);
        }

        private void showProgress(List<FleetStatusReader.InstanceResult> pending) {
            String line =
                    mInstances.isEmpty()
                            ? "no instances are known yet"
                            : "version "
                                    + mVersion
                                    + " is in force on "
                                    + (mInstances.size() - pending.size())
                                    + " of "
                                    + mInstances.size()
                                    + " instances; waiting for "
                                    + describeAll(pending);
            if (!mStoreError.isEmpty()) {
                line += " (the list of instances could not be read: " + mStoreError + ")";
            }
            if (!line.equals(mLastProgress)) {
                mContext.printProgress(line);
                mLastProgress = line;
            }
        }

        private Outcome timedOut(List<FleetStatusReader.InstanceResult> pending) {
            if (mInstances.isEmpty()) {
                return Outcome.unavailable(
                        mStoreError.isEmpty()
                                ? "The platform lists no instances."
                                : mStoreError + ".",
                        "check the store, and run the command again.");
            }
            String message =
                    "Version "
                            + mVersion
                            + " is not in force everywhere after "
                            + mTimeoutSeconds
                            + " s: waiting for "
                            + describeAll(pending)
                            + ".";
            if (pending.stream().anyMatch(result -> result.status().isEmpty())) {
                return Outcome.unavailable(
                        message,
                        "run the command again; report instances that stay unreachable to the"
                                + " platform's operators.");
            }
            return Outcome.refused(
                    message,
                    "check with \"plantainferry history\" that the version exists, and run the"
                            + " command again.");
        }

        private static String describeAll(List<FleetStatusReader.InstanceResult> pending) {
            String descriptions =
                    pending.stream()
                            .limit(MAX_INSTANCES_SHOWN)
                            .map(VersionWait::describe)
                            .collect(Collectors.joining(", "));
            int remaining = pending.size() - MAX_INSTANCES_SHOWN;
            return remaining > 0 ? descriptions + " and " + remaining + " more" : descriptions;
        }

        private static String describe(FleetStatusReader.InstanceResult result) {
            return result.instance().id()
                    + result.status()
                            .map(status -> " (version " + status.configurationVersion() + ")")
                            .orElse(" (not reachable)");
        }
    }
}
