package org.plantainferry.verification.history;

import java.util.List;
import org.plantainferry.verification.standin.group.LogEntry;

/**
 * Holds what a group of servers knows at the end of a run.
 *
 * @param service the service
 * @param entries the log of the server with the latest term and position
 * @param mistakes rules of the group that were broken: a wrong promotion, logs that differ below
 *     the confirmed position
 * @param violations requests that carried a caller's key or an Authorization header
 * @param leavingWork new work at servers that were leaving
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
     * @param lastAfterMillis when the last one came, after the server began to leave
     */
    public record LeavingWork(String server, long count, long lastAfterMillis) {}

    /** Copies the lists. */
    public GroupTruth {
        entries = List.copyOf(entries);
        mistakes = List.copyOf(mistakes);
        leavingWork = List.copyOf(leavingWork);
    }
}
