package org.plantainferry.verification.history;

import java.util.List;
import org.plantainferry.verification.standin.group.LogEntry;

/**
 * Holds the ground truth of a run: the log and the counters that a database group itself has at the
 * end.
 *
 * @param service the service
 * @param entries the log of the server with the latest term and position
 * @param mistakes descriptions of broken rules of the group: a wrong promotion, or logs that differ
 *     at or below the confirmed position
 * @param violations the number of requests that carried a caller's key or an Authorization header
 * @param leavingWork the new work that servers received while they were leaving
 * @since 0.1
 */
public record GroupTruth(
        String service,
        List<LogEntry> entries,
        List<String> mistakes,
        int violations,
        List<LeavingWork> leavingWork) {
    /**
     * Counts the new work that reached a server while it was leaving.
     *
     * @param server the server
     * @param count the number of requests
     * @param lastAfterMillis the time of the last request after the server began to leave
     */
    public record LeavingWork(String server, long count, long lastAfterMillis) {}

    /** Copies the lists. */
    public GroupTruth {
        entries = List.copyOf(entries);
        mistakes = List.copyOf(mistakes);
        leavingWork = List.copyOf(leavingWork);
    }
}
