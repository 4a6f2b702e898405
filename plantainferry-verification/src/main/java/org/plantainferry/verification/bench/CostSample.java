package org.plantainferry.verification.bench;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.Locale;
import java.util.Optional;

/**
 * Holds the resources that a fleet in this process has used up to one moment.
 *
 * @param monotonicNanos the moment, as of {@link System#nanoTime()}
 * @param controlThreadNanos processor time of all control threads in nanoseconds
 * @param eventLoopNanos processor time of all event loops of the instances in nanoseconds; they
 *     handle the connections to peers, store and targets
 * @param peerBytes payload bytes in both directions between instances
 * @param storeBytes payload bytes in both directions between instances and store
 * @param storeCalls requests to the store
 * @param probeBytes payload bytes in both directions between instances and targets
 * @param probes probes of servers
 */
record CostSample(
        long monotonicNanos,
        long controlThreadNanos,
        long eventLoopNanos,
        long peerBytes,
        long storeBytes,
        long storeCalls,
        long probeBytes,
        long probes) {
    private static final int GC_RUNS = 3;

    /** Returns a sample of the current totals. */
    static CostSample take(InProcessFleet fleet, FakeTargets targets)
            throws IOException, InterruptedException {
        return new CostSample(
                System.nanoTime(),
                threadNanos("control"),
                threadNanos("traffic"),
                fleet.peerBytes(),
                fleet.storeBytes(),
                fleet.storeCalls(),
                targets.payloadBytes(),
                targets.probeCount());
    }

    /** Returns the processor time, in nanoseconds, of live threads whose names have the prefix. */
    private static long threadNanos(String prefix) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long id : threads.getAllThreadIds()) {
            Optional<ThreadInfo> info = Optional.ofNullable(threads.getThreadInfo(id));
            if (info.isPresent() && info.get().getThreadName().startsWith(prefix)) {
                sum += Math.max(0, threads.getThreadCpuTime(id));
            }
        }
        return sum;
    }

    /** Returns the bytes of the heap in use after garbage collections. */
    static long usedHeapBytes() {
        for (int count = 0; count < GC_RUNS; count++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /**
     * Returns a result row with the cost per instance and second since an earlier sample.
     *
     * <p>A relay counts each byte between two instances once. Since one instance sends it and
     * another receives it, the bytes between peers are doubled.
     */
    String costSince(CostSample earlier, int instances) {
        double seconds = (monotonicNanos - earlier.monotonicNanos) / 1e9;
        double instanceSeconds = seconds * instances;
        return String.format(
                Locale.ROOT,
                "control %.2f%% of a core, event loops %.2f%%, peers %.2f KB/s,"
                        + " store %.2f KB/s and %.2f calls/s, probes %.2f KB/s and %.1f/s",
                (controlThreadNanos - earlier.controlThreadNanos) / 1e7 / instanceSeconds,
                (eventLoopNanos - earlier.eventLoopNanos) / 1e7 / instanceSeconds,
                2 * (peerBytes - earlier.peerBytes) / 1e3 / instanceSeconds,
                (storeBytes - earlier.storeBytes) / 1e3 / instanceSeconds,
                (storeCalls - earlier.storeCalls) / instanceSeconds,
                (probeBytes - earlier.probeBytes) / 1e3 / instanceSeconds,
                (probes - earlier.probes) / instanceSeconds);
    }
}
