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

/** Waits until a version is in force on all instances. */
@Parameters(commandDescription = "Waits until a version is in force on all instances")
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

    /** Holds the state of one wait. */
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
                List<FleetStatusReader.InstanceResult> answers = mStatusReader.read(mInstances);
                List<FleetStatusReader.InstanceResult> missing =
                        answers.stream().filter(this::isAwaited).toList();
                if (!mInstances.isEmpty() && missing.isEmpty()) {
                    return Outcome.done(
                            ChangeStatus.NO,
                            "Version "
                                    + mVersion
                                    + " or a later one is in force on all "
                                    + mInstances.size()
                                    + " listed instances.");
                }
                showProgress(missing);
                if (timing.nowNanos() - start >= timeoutNanos) {
                    return timedOut(missing);
                }
                timing.sleepMillis(POLL_INTERVAL_MILLIS);
            }
        }

        private void refreshInstances() {
            try {
                mInstances = mStore.instances();
                mStoreError = "";
            } catch (PlantainferryException e) {
                // Instances pass a version on among themselves, so the last list will do.
                mStoreError = e.getMessage();
            }
        }

        private boolean isAwaited(FleetStatusReader.InstanceResult answer) {
            // A leaving instance that does not answer has ended; the list lags.
            boolean ended = answer.isLeaving() && answer.status().isEmpty();
            return !ended && !answer.hasVersion(mVersion);
        }

        private void showProgress(List<FleetStatusReader.InstanceResult> missing) {
            String line =
                    mInstances.isEmpty()
                            ? "no instances are known yet"
                            : "version "
                                    + mVersion
                                    + " is in force on "
                                    + (mInstances.size() - missing.size())
                                    + " of "
                                    + mInstances.size()
                                    + " instances; waiting for "
                                    + describeAll(missing);
            if (!mStoreError.isEmpty()) {
                line += " (no new list: " + mStoreError + ")";
            }
            if (!line.equals(mLastProgress)) {
                mContext.printProgress(line);
                mLastProgress = line;
            }
        }

        private Outcome timedOut(List<FleetStatusReader.InstanceResult> missing) {
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
                            + describeAll(missing)
                            + ".";
            if (missing.stream().anyMatch(each -> each.status().isEmpty())) {
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

        private static String describeAll(List<FleetStatusReader.InstanceResult> missing) {
            String names =
                    missing.stream()
                            .limit(MAX_INSTANCES_SHOWN)
                            .map(VersionWait::describe)
                            .collect(Collectors.joining(", "));
            int hidden = missing.size() - MAX_INSTANCES_SHOWN;
            return hidden > 0 ? names + " and " + hidden + " more" : names;
        }

        private static String describe(FleetStatusReader.InstanceResult answer) {
            return answer.instance().id()
                    + answer.status()
                            .map(status -> " (version " + status.configurationVersion() + ")")
                            .orElse(" (not reachable)");
        }
    }
}
