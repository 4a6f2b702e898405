package org.plantainferry.engine.scheduling;

import java.util.Map;

/**
 * Holds the number of statements that wait for a server and the totals of those that left without
 * being served.
 *
 * @param waitingByPriority the number of waiting statements by the priority of their route
 * @param lateWaiting how many of the waiting statements can no longer meet their objective
 * @param refusedEarly the total of those refused before their deadline, by an estimate of the wait
 *     or because the queue was full
 * @param displaced the total of those refused in favor of a statement of another workspace or of a
 *     more urgent one
 * @param passedOver the total of those that have lost their turn to statements in time, because
 *     they could no longer meet their objective
 * @param expired the total of those whose deadline passed
 * @since 0.4
 */
public record WaitingSnapshot(
        Map<Integer, Integer> waitingByPriority,
        int lateWaiting,
        long refusedEarly,
        long displaced,
        long passedOver,
        long expired) {
    /** Copies the map. */
    public WaitingSnapshot {
        waitingByPriority = Map.copyOf(waitingByPriority);
    }
}
