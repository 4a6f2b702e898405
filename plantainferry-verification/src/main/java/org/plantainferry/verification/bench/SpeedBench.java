package org.plantainferry.verification.bench;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.verification.load.LoadPlan;
import org.plantainferry.verification.load.LoadReport;
import org.plantainferry.verification.load.LoadRunner;
import org.plantainferry.verification.load.RequestFactory;

/** Compares statements sent through one instance with statements sent directly to the group. */
final class SpeedBench {
    private static final int[] CALLER_COUNTS = {1, 64, 1_024};
    private static final int[] WORKSPACE_COUNTS = {16, 200, 1_000};
    private static final int[] IDLE_CONNECTION_COUNTS = {0, 2_000, 10_000};
    private static final int DEFAULT_CALLERS = 64;
    private static final int WARM_UP_ROUNDS = 2;
    private static final long SETTLE_MILLIS = 8_000;

    // Above this fraction of the direct throughput, the target or the callers may be the
    // bottleneck.
    private static final double BOTTLENECK_FRACTION = 0.7;

    private final LoadRunner mRunner;
    private final ResultWriter mResults;
    private final long mMeasuredMillis;
    private final long mSeed;

    SpeedBench(EventLoopGroup eventLoops, ResultWriter results, long seconds, long seed) {
        mRunner = new LoadRunner(eventLoops);
        mResults = results;
        mMeasuredMillis = TimeUnit.SECONDS.toMillis(seconds);
        mSeed = seed;
    }

    void run() throws IOException, InterruptedException {
        mResults.printLine("one instance (512 MB heap), one group with 3 servers, 256 slots each,");
        mResults.printLine("service time 0, lag 0; all on loopback; closed loop");
        try (SpeedSetup setup = new SpeedSetup(WORKSPACE_COUNTS[0])) {
            warmUp(setup);
            for (double readFraction : new double[] {1.0, 0.0}) {
                mResults.printLine("");
                mResults.printLine("== %s, by callers", readFraction == 1.0 ? "reads" : "writes");
                for (int callers : CALLER_COUNTS) {
                    compareWithDirect(setup, callers, readFraction);
                }
            }
            measureByWorkspaces(setup);
            measureByIdleConnections(setup);
        }
    }

    /** Sends load so that the first result rows do not measure code that is not yet compiled. */
    private void warmUp(SpeedSetup setup) throws InterruptedException {
        for (double readFraction : new double[] {1.0, 0.0}) {
            for (int round = 0; round < WARM_UP_ROUNDS; round++) {
                List<String> primary = setup.serverAddresses().subList(0, 1);
                mRunner.run(
                        plan(primary, RequestFactory.forServer(1), DEFAULT_CALLERS, readFraction));
                mRunner.run(
                        plan(
                                List.of(setup.callerAddress()),
                                requestsOfWorkspaces(WORKSPACE_COUNTS[0]),
                                DEFAULT_CALLERS,
                                readFraction));
            }
        }
    }

    private void compareWithDirect(SpeedSetup setup, int callers, double readFraction)
            throws IOException, InterruptedException {
        double groupCpuBefore = setup.group().cpuSeconds();
        List<String> targets =
                readFraction == 1.0
                        ? setup.serverAddresses()
                        : setup.serverAddresses().subList(0, 1);
        LoadReport direct =
                mRunner.run(plan(targets, RequestFactory.forServer(1), callers, readFraction));
        double directCores = cores(setup.group().cpuSeconds() - groupCpuBefore);
        mResults.printLine(
                "%5d callers direct : %s, group %.2f cores",
                callers, formatRow(direct), directCores);
        LoadReport throughInstance =
                measureThroughInstance(setup, callers, WORKSPACE_COUNTS[0], readFraction);
        mResults.printLine(
                "%5d callers added  : p50 %.2f ms, p99 %.2f ms; load %.1f%s",
                callers,
                throughInstance.latencyMillis(50) - direct.latencyMillis(50),
                throughInstance.latencyMillis(99) - direct.latencyMillis(99),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                throughInstance.throughput() > BOTTLENECK_FRACTION * direct.throughput()
                        ? "; the target or the callers may be the bottleneck"
                        : "");
    }

    private LoadReport measureThroughInstance(
            SpeedSetup setup, int callers, int workspaces, double readFraction)
            throws IOException, InterruptedException {
        double instanceCpuBefore = setup.instance().cpuSeconds();
        double groupCpuBefore = setup.group().cpuSeconds();
        LoadReport report =
                mRunner.run(
                        plan(
                                List.of(setup.callerAddress()),
                                requestsOfWorkspaces(workspaces),
                                callers,
                                readFraction));
        double instanceCores = cores(setup.instance().cpuSeconds() - instanceCpuBefore);
        mResults.printLine(
                "%5d callers through: %s, instance %.2f cores, %.0f/s for each core, group %.2f",
                callers,
                formatRow(report),
                instanceCores,
                report.throughput() / instanceCores,
                cores(setup.group().cpuSeconds() - groupCpuBefore));
        return report;
    }

    /** Returns the average number of cores used by a run, including its warm-up. */
    private double cores(double cpuSeconds) {
        return cpuSeconds
                / (TimeUnit.MILLISECONDS.toSeconds(mMeasuredMillis) + warmUpMillis() / 1e3);
    }

    private void measureByWorkspaces(SpeedSetup setup) throws IOException, InterruptedException {
        mResults.printLine("");
        mResults.printLine("== reads, by workspaces (callers spread over all of them)");
        for (int workspaces : WORKSPACE_COUNTS) {
            setup.putConfiguration(workspaces);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            mResults.printLine("%d workspaces:", workspaces);
            measureThroughInstance(setup, DEFAULT_CALLERS, workspaces, 1.0);
            printMemory(setup);
        }
        setup.putConfiguration(WORKSPACE_COUNTS[0]);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    }

    private void measureByIdleConnections(SpeedSetup setup)
            throws IOException, InterruptedException {
        mResults.printLine("");
        mResults.printLine("== reads, by idle connections");
        List<Socket> idle = new ArrayList<>();
        String[] address = setup.callerAddress().split(":");
        try {
            for (int connections : IDLE_CONNECTION_COUNTS) {
                while (idle.size() < connections) {
                    idle.add(new Socket(address[0], Integer.parseInt(address[1])));
                }
                mResults.printLine("%d idle connections open:", idle.size());
                measureThroughInstance(setup, DEFAULT_CALLERS, WORKSPACE_COUNTS[0], 1.0);
                printMemory(setup);
            }
        } catch (IOException e) {
            mResults.printLine("no more than %d were possible: %s", idle.size(), e.getMessage());
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    private void printMemory(SpeedSetup setup) throws IOException, InterruptedException {
        long heap = setup.instance().usedHeapBytes();
        mResults.printLine(
                "      heap after a collection %.1f MB, resident %.1f MB",
                heap / 1e6, setup.instance().residentBytes() / 1e6);
    }

    /** Returns requests that callers send in rotation with the keys of all workspaces. */
    private static RequestFactory requestsOfWorkspaces(int workspaces) {
        return (caller, number, read, session) ->
                RequestFactory.forInstance(
                                "ledger",
                                Configurations.callerKey((int) ((caller + number) % workspaces)))
                        .create(caller, number, read, session);
    }

    private long warmUpMillis() {
        return mMeasuredMillis / 3;
    }

    private LoadPlan plan(
            List<String> addresses, RequestFactory form, int callers, double readFraction) {
        return new LoadPlan(
                addresses,
                form,
                callers,
                Optional.empty(),
                readFraction,
                false,
                false,
                warmUpMillis(),
                mMeasuredMillis,
                mSeed);
    }

    private static String formatRow(LoadReport report) {
        Map<String, Long> errors = report.errors();
        return String.format(
                Locale.ROOT,
                "%7.0f/s p50 %7.2f ms p99 %7.2f ms%s",
                report.throughput(),
                report.latencyMillis(50),
                report.latencyMillis(99),
                errors.isEmpty() ? "" : " errors " + errors);
    }
}
