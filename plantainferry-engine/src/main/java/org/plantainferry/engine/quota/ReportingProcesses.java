package org.plantainferry.engine.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which demand reports are answered with a report of this instance.
 *
 * <p>An instance that has just started cannot divide limits until it has a report of each other
 * instance, so the first report of each of its processes is answered at once. Not thread-safe.
 *
 * @since 0.2
 */
public final class ReportingProcesses {
    private final Map<String, Long> mProcesses = new HashMap<>();

    /**
     * Records a report.
     *
     * @param process the identifier of the process that sent it, which differs after a restart
     * @return whether it is the first report of that process
     */
    public boolean isFirstReport(String instance, long process) {
        Long before = mProcesses.put(instance, process);
        return before == null || before != process;
    }

    /** Discards the processes of all other instances. */
    public void retain(Set<String> instances) {
        mProcesses.keySet().retainAll(instances);
    }
}
