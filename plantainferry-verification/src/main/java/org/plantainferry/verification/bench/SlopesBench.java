package org.plantainferry.verification.bench;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.daemon.settings.DaemonSettings;
import org.plantainferry.verification.load.LoadPlan;
import org.plantainferry.verification.load.LoadReport;
import org.plantainferry.verification.load.LoadRunner;
import org.plantainferry.verification.load.RequestFactory;

/**
 * Measures how the background cost of an instance grows with the numbers of instances, services,
 * workspaces and statements.
 */
final class SlopesBench {
    private static final String[] FAILURE_DOMAINS = {"como-a", "lecco-a", "sondrio-a", "varese-a"};
    private static final int[] INSTANCE_COUNTS = {3, 8, 16, 32};
    private static final int[] SERVICE_COUNTS = {3, 30, 150};
    private static final int[] WORKSPACE_COUNTS = {8, 80, 400};
    private static final int[] STATEMENT_RATES_PER_SECOND = {0, 100, 400, 1_600};
    private static final int DEFAULT_INSTANCES = 4;
    private static final int DEFAULT_SERVICES = 3;
    private static final int DEFAULT_WORKSPACES = 8;
    private static final long SETTLE_MILLIS = 8_000;
    private static final double WORKSPACE_RATE = 100_000;

    private final EventLoopGroup mEventLoops;
    private final ResultWriter mResults;
    private final long mMeasuredMillis;
    private final long mSeed;

    SlopesBench(EventLoopGroup eventLoops, ResultWriter results, long seconds, long seed) {
        mEventLoops = eventLoops;
        mResults = results;
        mMeasuredMillis = TimeUnit.SECONDS.toMillis(seconds);
        mSeed = seed;
    }

    void run() throws IOException, InterruptedException {
        mResults.printLine(
                "all instances in one process; for each instance and second; processor time");
        mResults.printLine(
                "from the threads' clocks; payload bytes of both directions, counted by");
        mResults.printLine("relays and by the fake targets, sent and received; no callers");
        // The first fleet includes the cost of class loading and compilation, so it is not
        // evaluated.
        measure(DEFAULT_INSTANCES, DEFAULT_SERVICES, DEFAULT_WORKSPACES, 0, "warm-up, not for use");
        mResults.printLine("== instances (%d databases, %d workspaces)", DEFAULT_SERVICES, 8);
        for (int instances : INSTANCE_COUNTS) {
            measure(instances, DEFAULT_SERVICES, DEFAULT_WORKSPACES, 0, instances + " instances");
        }
        mResults.printLine("== databases (%d instances, %d workspaces)", DEFAULT_INSTANCES, 8);
        for (int services : SERVICE_COUNTS) {
            measure(DEFAULT_INSTANCES, services, DEFAULT_WORKSPACES, 0, services + " databases");
        }
        mResults.printLine("== workspaces (%d instances, 3 databases)", DEFAULT_INSTANCES);
        for (int workspaces : WORKSPACE_COUNTS) {
            measure(DEFAULT_INSTANCES, DEFAULT_SERVICES, workspaces, 0, workspaces + " workspaces");
        }
        mResults.printLine("== statements a second over 4 instances (fake targets, half reads)");
        for (int rate : STATEMENT_RATES_PER_SECOND) {
            measure(DEFAULT_INSTANCES, DEFAULT_SERVICES, DEFAULT_WORKSPACES, rate, rate + "/s");
        }
    }

    private void measure(
            int instances, int services, int workspaces, int statementsPerSecond, String label)
            throws IOException, InterruptedException {
        long heapBefore = CostSample.usedHeapBytes();
        List<FailureDomain> domains = Configurations.failureDomains(instances, FAILURE_DOMAINS);
        try (FakeTargets targets =
                new FakeTargets(
                        mEventLoops, services, 3, 50, domains.subList(0, Math.min(4, instances)))) {
            Configuration configuration =
                    Configurations.configuration(
                            domains,
                            targets.services(),
                            Configurations.workspaces(
                                    workspaces,
                                    WORKSPACE_RATE,
                                    WORKSPACE_RATE,
                                    targets.services()));
            try (InProcessFleet fleet =
                    new InProcessFleet(
                            mEventLoops, domains, DaemonSettings.Policy.STANDARD, configuration)) {
                TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
                CostSample before = CostSample.take(fleet, targets);
                Optional<LoadReport> report = runLoad(fleet, statementsPerSecond);
                CostSample after = CostSample.take(fleet, targets);
                long heap = CostSample.usedHeapBytes() - heapBefore;
                mResults.printLine("%-16s %s", label, after.costSince(before, instances));
                mResults.printLine(
                        "%-16s heap %.2f MB for each instance with its part of the stand-ins",
                        "", heap / 1e6 / instances);
                report.ifPresent(
                        loadReport ->
                                mResults.printLine(
                                        "%-16s %.0f/s, p99 %.1f ms, errors %s",
                                        "",
                                        loadReport.throughput(),
                                        loadReport.latencyMillis(99),
                                        loadReport.errors()));
            }
        }
        mResults.printLoadAverage("after " + label);
    }

    /** Sends statements for the measured time, or only waits if there are none to send. */
    private Optional<LoadReport> runLoad(InProcessFleet fleet, int statementsPerSecond)
            throws InterruptedException {
        if (statementsPerSecond == 0) {
            TimeUnit.MILLISECONDS.sleep(mMeasuredMillis);
            return Optional.empty();
        }
        RequestFactory form =
                (caller, number, read, session) ->
                        RequestFactory.forInstance(
                                        "ledger-" + caller % DEFAULT_SERVICES,
                                        Configurations.callerKey(caller % DEFAULT_WORKSPACES))
                                .create(caller, number, read, session);
        return Optional.of(
                new LoadRunner(mEventLoops)
                        .run(
                                new LoadPlan(
                                        fleet.callerAddresses(),
                                        form,
                                        64,
                                        Optional.of((double) statementsPerSecond),
                                        0.5,
                                        false,
                                        false,
                                        0,
                                        mMeasuredMillis,
                                        mSeed)));
    }
}
