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

/** Measures what control costs each instance as the fleet and its configuration grow. */
final class SlopesBench {
    private static final String[] DOMAINS = {"como-a", "lecco-a", "sondrio-a", "varese-a"};
    private static final int[] INSTANCES = {3, 8, 16, 32};
    private static final int[] SERVICES = {3, 30, 150};
    private static final int[] WORKSPACES = {8, 80, 400};
    private static final int[] RATES = {0, 100, 400, 1_600};
    private static final int USUAL_INSTANCES = 4;
    private static final int USUAL_SERVICES = 3;
    private static final int USUAL_WORKSPACES = 8;
    private static final long SETTLE_MILLIS = 8_000;
    private static final double RATE = 100_000;

    private final EventLoopGroup mGroup;
    private final Results mResults;
    private final long mMillis;
    private final long mSeed;

    SlopesBench(EventLoopGroup group, Results results, long seconds, long seed) {
        mGroup = group;
        mResults = results;
        mMillis = TimeUnit.SECONDS.toMillis(seconds);
        mSeed = seed;
    }

    void run() throws IOException, InterruptedException {
        mResults.line("all instances in one process; for each instance and second; processor time");
        mResults.line("from the threads' clocks; payload bytes of both directions, counted by");
        mResults.line("relays and by the fake targets, sent and received; no callers");
        // The first fleet pays for class loading and compilation.
        measure(USUAL_INSTANCES, USUAL_SERVICES, USUAL_WORKSPACES, 0, "warm-up, not for use");
        mResults.line("== instances (%d databases, %d workspaces)", USUAL_SERVICES, 8);
        for (int instances : INSTANCES) {
            measure(instances, USUAL_SERVICES, USUAL_WORKSPACES, 0, instances + " instances");
        }
        mResults.line("== databases (%d instances, %d workspaces)", USUAL_INSTANCES, 8);
        for (int services : SERVICES) {
            measure(USUAL_INSTANCES, services, USUAL_WORKSPACES, 0, services + " databases");
        }
        mResults.line("== workspaces (%d instances, 3 databases)", USUAL_INSTANCES);
        for (int workspaces : WORKSPACES) {
            measure(USUAL_INSTANCES, USUAL_SERVICES, workspaces, 0, workspaces + " workspaces");
        }
        mResults.line("== statements a second over 4 instances (fake targets, half reads)");
        for (int rate : RATES) {
            measure(USUAL_INSTANCES, USUAL_SERVICES, USUAL_WORKSPACES, rate, rate + "/s");
        }
    }

    private void measure(int instances, int services, int workspaces, int rate, String name)
            throws IOException, InterruptedException {
        long heapBefore = CostSample.heapBytes();
        List<FailureDomain> domains = Configurations.domains(instances, DOMAINS);
        try (FakeTargets targets =
                new FakeTargets(
                        mGroup, services, 3, 50, domains.subList(0, Math.min(4, instances)))) {
            Configuration configuration =
                    Configurations.of(
                            domains,
                            targets.services(),
                            Configurations.workspaces(workspaces, RATE, RATE, targets.services()));
            try (Fleet fleet =
                    new Fleet(mGroup, domains, DaemonSettings.Policy.STANDARD, configuration)) {
                TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
                CostSample before = CostSample.take(fleet, targets);
                Optional<LoadReport> report = load(fleet, rate);
                CostSample after = CostSample.take(fleet, targets);
                long heap = CostSample.heapBytes() - heapBefore;
                mResults.line("%-16s %s", name, after.since(before, instances));
                mResults.line(
                        "%-16s heap %.2f MB for each instance with its part of the stand-ins",
                        "", heap / 1e6 / instances);
                report.ifPresent(
                        each ->
                                mResults.line(
                                        "%-16s %.0f/s, p99 %.1f ms, errors %s",
                                        "",
                                        each.throughput(),
                                        each.latencyMillis(99),
                                        each.errors()));
            }
        }
        mResults.load("after " + name);
    }

    private Optional<LoadReport> load(Fleet fleet, int rate) throws InterruptedException {
        if (rate == 0) {
            TimeUnit.MILLISECONDS.sleep(mMillis);
            return Optional.empty();
        }
        RequestFactory form =
                (caller, number, read, session) ->
                        RequestFactory.forInstance(
                                        "ledger-" + caller % USUAL_SERVICES,
                                        Configurations.key(caller % USUAL_WORKSPACES))
                                .create(caller, number, read, session);
        return Optional.of(
                new LoadRunner(mGroup)
                        .run(
                                new LoadPlan(
                                        fleet.callerAddresses(),
                                        form,
                                        64,
                                        Optional.of((double) rate),
                                        0.5,
                                        false,
                                        false,
                                        0,
                                        mMillis,
                                        mSeed)));
    }
}
