package org.plantainferry.gateway.traffic;

/**
 * Holds the numbers of what an instance serves.
 *
 * @param sessions the open sessions of callers
 * @param transactions those of them that are in a transaction
 * @param received the operations that other instances have passed to this one
 * @since 0.2
 */
public record SessionCounts(int sessions, int transactions, int received) {
    /** Returns whether a drain has nothing to wait for. */
    public boolean isEmpty() {
        return sessions == 0 && received == 0;
    }
}
