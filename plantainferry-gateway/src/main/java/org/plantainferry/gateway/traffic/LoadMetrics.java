package org.plantainferry.gateway.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Records which statements wait for a server or are refused without being sent, by priority,
 * workspace and server.
 *
 * <p>There are series for the servers and workspaces that exist, and none for those that are gone.
 * Not thread-safe: used by the traffic thread only.
 *
 * @since 0.4
 */
public final class LoadMetrics {
    // A statement that is sent sooner has not waited.
    private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private record PriorityAtServer(String server, int priority) {
        // Written out, because a generated method is linked at run time in each process.
        @Override
        public boolean equals(Object other) {
            return other instanceof PriorityAtServer that
                    && priority == that.priority
                    && server.equals(that.server);
        }

        @Override
        public int hashCode() {
            int hash = server.hashCode();
            hash = 31 * hash + priority;
            return hash;
        }
    }

    private final MeterRegistry mRegistry;
    private final Map<PriorityAtServer, Timer> mWaitedAtServers = new HashMap<>();
    private final Map<String, Timer> mWaitedByWorkspace = new HashMap<>();
    private final Map<Integer, Counter> mRefusedByPriority = new HashMap<>();
    private final Map<String, Counter> mRefusedByWorkspace = new HashMap<>();
    private final Map<String, ServerLoadSeries> mServers = new HashMap<>();
    private final WaitingSummary mSummary = new WaitingSummary();

    LoadMetrics(MeterRegistry registry) {
        mRegistry = registry;
    }

    /**
     * Records that a statement is sent.
     *
     * @param nanos the time since its arrival; the statement has not waited if it is short
     */
    public void onSent(
            String requestId, String server, int priority, String workspace, long nanos) {
        if (nanos < MIN_WAIT_NANOS) {
            return;
        }
        mWaitedAtServers
                .computeIfAbsent(new PriorityAtServer(server, priority), this::waitedAtServer)
                .record(nanos, TimeUnit.NANOSECONDS);
        mWaitedByWorkspace
                .computeIfAbsent(workspace, this::waitedByWorkspace)
                .record(nanos, TimeUnit.NANOSECONDS);
        mSummary.onWaited(requestId, server, priority, workspace, nanos);
    }

    /** Records that a statement is refused although it was never sent to a server. */
    public void onRefused(String requestId, int priority, String workspace, String reason) {
        mRefusedByPriority.computeIfAbsent(priority, this::refusedByPriority).increment();
        mRefusedByWorkspace.computeIfAbsent(workspace, this::refusedByWorkspace).increment();
        mSummary.onRefused(requestId, priority, reason);
    }

    private Timer waitedAtServer(PriorityAtServer key) {
        return Timer.builder("plantainferry.statements.waited")
                .tag("server", key.server())
                .tag("priority", Integer.toString(key.priority()))
                .register(mRegistry);
    }

    private Timer waitedByWorkspace(String workspace) {
        return mRegistry.timer("plantainferry.workspace.waited", "workspace", workspace);
    }

    private Counter refusedByPriority(int priority) {
        return mRegistry.counter(
                "plantainferry.statements.refused", "priority", Integer.toString(priority));
    }

    private Counter refusedByWorkspace(String workspace) {
        return mRegistry.counter("plantainferry.workspace.refused", "workspace", workspace);
    }

    /**
     * Logs the sums since the last call, updates the series of all servers, and removes those of
     * servers and workspaces that are gone.
     *
     * @param servers the load of each server that exists
     * @param workspaces the workspaces of the configuration in force
     */
    public void update(Collection<ServerLoad> servers, Set<String> workspaces) {
        mSummary.log();
        Set<String> present = new HashSet<>();
        for (ServerLoad load : servers) {
            present.add(load.server());
            mServers.computeIfAbsent(load.server(), key -> new ServerLoadSeries(mRegistry, load))
                    .update(load);
        }
        mServers.entrySet().removeIf(entry -> removeIfGone(entry, present));
        mWaitedAtServers
                .entrySet()
                .removeIf(entry -> removeIfGone(entry.getKey().server(), entry, present));
        mWaitedByWorkspace
                .entrySet()
                .removeIf(entry -> removeIfGone(entry.getKey(), entry, workspaces));
        mRefusedByWorkspace
                .entrySet()
                .removeIf(entry -> removeIfGone(entry.getKey(), entry, workspaces));
    }

    private static boolean removeIfGone(
            Map.Entry<String, ServerLoadSeries> entry, Set<String> present) {
        if (present.contains(entry.getKey())) {
            return false;
        }
        entry.getValue().remove();
        return true;
    }

    private boolean removeIfGone(
            String name, Map.Entry<?, ? extends Meter> entry, Set<String> present) {
        if (present.contains(name)) {
            return false;
        }
        mRegistry.remove(entry.getValue());
        return true;
    }
}
