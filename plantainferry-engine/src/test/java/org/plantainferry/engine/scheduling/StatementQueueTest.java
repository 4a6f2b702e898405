package org.plantainferry.engine.scheduling;

import static org.plantainferry.engine.scheduling.QueueSimulation.MILLI;
import static org.plantainferry.engine.scheduling.QueueSimulation.addRegularly;
import static org.plantainferry.engine.scheduling.QueueSimulation.waiting;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.engine.admission.OfferResult;
import org.plantainferry.engine.scheduling.QueueSimulation.Arrival;
import org.plantainferry.engine.scheduling.QueueSimulation.ArrivalOrder;
import org.plantainferry.engine.scheduling.QueueSimulation.Order;
import org.plantainferry.engine.scheduling.QueueSimulation.Outcome;
import org.plantainferry.engine.scheduling.QueueSimulation.UrgencyOrder;
import org.testng.annotations.Test;

/**
 * Guards against loads above the room of a server that cost urgent callers, other workspaces, or
 * callers that can still be served in time. Each test first shows the harm of serving in order of
 * arrival.
 */
public final class StatementQueueTest {
    private static final int SLOTS = 4;
    private static final long SERVICE = 20;
    private static final long DURATION = 6_000;

    private static Map<String, Outcome> run(List<Arrival> arrivals, Order order, long service) {
        return new QueueSimulation().run(arrivals, order, SLOTS, service, DURATION);
    }

    private static StatementQueue<Arrival> queue(int total, int workspace) {
        return new StatementQueue<>(total, workspace, 2 * MILLI);
    }

    private static Arrival arrival(long at, String workspace, int priority) {
        return new Arrival(at, workspace, priority, 300, 2_000);
    }

    private static OfferResult<Arrival> offer(
            StatementQueue<Arrival> queue, Arrival arrival, long nowMillis) {
        return queue.offer(waiting(arrival, SERVICE), nowMillis * MILLI, 0.5);
    }

    @Test
    public void urgentStatementsAreInTimeBesideABurstOfLessUrgentOnes() {
        List<Arrival> arrivals = new ArrayList<>();
        addRegularly(arrivals, DURATION, 20, new Arrival(0, "urgent", 0, 150, 800));
        addRegularly(arrivals, DURATION, 1.7, new Arrival(0, "flood", 2, 400, 800));
        Map<String, Outcome> before = run(arrivals, new ArrivalOrder(), SERVICE);
        assertTrue(before.get("urgent").shareInTime() < 0.1);
        Map<String, Outcome> after = run(arrivals, new UrgencyOrder(SERVICE), SERVICE);
        assertTrue(after.get("urgent").shareInTime() > 0.98);
        assertTrue(after.get("flood").mServed > 0.7 * DURATION / SERVICE * SLOTS);
    }

    @Test
    public void aWorkspaceManyTimesItsUsualTakesNoRoomOfOthers() {
        List<Arrival> arrivals = new ArrayList<>();
        addRegularly(arrivals, DURATION, 1, new Arrival(0, "many", 1, 300, 800));
        addRegularly(arrivals, DURATION, 25, new Arrival(0, "usual", 1, 300, 800));
        addRegularly(arrivals, DURATION, 25, new Arrival(9, "other", 1, 300, 800));
        Map<String, Outcome> before = run(arrivals, new ArrivalOrder(), SERVICE);
        assertTrue(before.get("usual").shareInTime() < 0.2);
        Map<String, Outcome> after = run(arrivals, new UrgencyOrder(SERVICE), SERVICE);
        assertTrue(after.get("usual").shareInTime() > 0.98);
        assertTrue(after.get("other").shareInTime() > 0.98);
    }

    @Test
    public void afterARestartOfAllTheNewestThatCanBeInTimeGoFirst() {
        List<Arrival> arrivals = new ArrayList<>();
        addRegularly(arrivals, 0, 2, new Arrival(-1_400, "backlog", 1, 300, 2_000));
        addRegularly(arrivals, 2_000, 5.6, new Arrival(0, "new", 1, 300, 2_000));
        Map<String, Outcome> before = run(arrivals, new ArrivalOrder(), SERVICE);
        assertTrue(before.get("new").shareInTime() < 0.2);
        Map<String, Outcome> after = run(arrivals, new UrgencyOrder(SERVICE), SERVICE);
        assertTrue(after.get("new").shareInTime() > 0.95);
        // Those put back get the room that is left, and all others are told at their deadline or
        // before.
        Outcome backlog = after.get("backlog");
        assertTrue(backlog.mServed + after.get("new").mServed > 0.95 * 2_000 / SERVICE * SLOTS);
        assertEquals(backlog.mServed + backlog.mRefused, backlog.mAsked);
    }

    @Test
    public void whatASlowServerCannotServeInTimeIsRefusedEarly() {
        long slow = 5 * SERVICE;
        List<Arrival> arrivals = new ArrayList<>();
        addRegularly(arrivals, DURATION - 1_000, 6, new Arrival(0, "w", 1, 300, 1_000));
        Outcome before = run(arrivals, new ArrivalOrder(), slow).get("w");
        Outcome after = run(arrivals, new UrgencyOrder(slow), slow).get("w");
        assertTrue(before.mRefusedAfterMillis / before.mRefused > 850);
        assertTrue(after.mRefusedAfterMillis / after.mRefused < 500);
        // In order of arrival, more are still served late after the last arrival.
        assertTrue(after.mServed > 0.9 * before.mServed);
        assertTrue(after.mInTime > 4 * before.mInTime);
    }

    @Test
    public void neitherLessUrgentNorLateStatementsStarve() {
        StatementQueue<Arrival> queue = queue(10_000, 10_000);
        int turns = 480;
        for (int index = 0; index < turns; index++) {
            offer(queue, new Arrival(index, "a", 0, 90_000, 90_000), 0);
            offer(queue, new Arrival(index, "b", 1, 90_000, 90_000), 0);
            offer(queue, new Arrival(index, "c", 3, 90_000, 90_000), 0);
            offer(queue, new Arrival(-50, "d", 0, 1, 90_000), 0);
        }
        int[] served = new int[4];
        int period = queue.turnPeriod();
        for (int turn = 0; turn < turns; turn++) {
            served[queue.poll(MILLI, any -> true).orElseThrow().workspace().charAt(0) - 'a']++;
        }
        for (int other = 1; other < served.length; other++) {
            assertTrue(served[other] >= turns / period - 1, "class " + other);
        }
        assertTrue(served[0] >= turns * 3 / 4);
    }

    @Test
    public void aFullQueueDisplacesTheLeastUrgentOfTheLongestQueue() {
        StatementQueue<Arrival> queue = queue(4, 3);
        offer(queue, arrival(0, "long", 0), 0);
        offer(queue, arrival(0, "long", 1), 0);
        Arrival last = arrival(1, "long", 1);
        offer(queue, last, 1);
        assertTrue(offer(queue, arrival(1, "long", 1), 1) instanceof OfferResult.Refused);
        offer(queue, arrival(1, "short", 1), 1);
        OfferResult<Arrival> result = offer(queue, arrival(2, "short", 1), 2);
        assertEquals(((OfferResult.Queued<Arrival>) result).displaced(), Optional.of(last));
        assertTrue(offer(queue, arrival(2, "short", 1), 2) instanceof OfferResult.Refused);
        // Nothing gives way to a less urgent statement.
        assertTrue(offer(queue, arrival(2, "fourth", 5), 2) instanceof OfferResult.Refused);
        assertEquals(queue.size(), 4);
        assertEquals(queue.snapshot().displaced(), 1);
    }

    @Test
    public void skippingStatementsOfOtherWorkspacesKeepsTheirOrder() {
        StatementQueue<Arrival> queue = queue(10, 10);
        Arrival first = arrival(0, "a", 0);
        Arrival second = arrival(1, "a", 0);
        Arrival other = arrival(2, "b", 1);
        List.of(first, second, other).forEach(each -> offer(queue, each, 2));
        assertEquals(
                queue.poll(2 * MILLI, each -> each.workspace().equals("b")), Optional.of(other));
        assertEquals(queue.poll(2 * MILLI, any -> true), Optional.of(first));
        assertEquals(queue.poll(2 * MILLI, any -> true), Optional.of(second));
    }

    @Test
    public void expiredStatementsAreTakenOutAndNotServed() {
        StatementQueue<Arrival> queue = queue(10, 10);
        Arrival expiring = new Arrival(0, "a", 0, 10, 20);
        offer(queue, expiring, 0);
        assertTrue(queue.poll(21 * MILLI, any -> true).isEmpty());
        assertEquals(queue.removeExpired(21 * MILLI), List.of(expiring));
        assertTrue(offer(queue, expiring, 21) instanceof OfferResult.Refused);
    }

    @Test
    public void callersReturnSpreadOverTheTimeOfTheBacklogTheUrgentFirst() {
        StatementQueue<Arrival> queue = queue(1_000, 1_000);
        for (int index = 0; index < 300; index++) {
            offer(queue, arrival(0, "w" + index % 7, index % 3), 0);
        }
        Urgency urgent = waiting(arrival(0, "x", 0), SERVICE).urgency();
        Urgency patient = waiting(arrival(0, "x", 2), SERVICE).urgency();
        long backlogMillis = 300 * 2;
        long earliest = queue.retryAfterMillis(patient, 0, 0);
        long latest = queue.retryAfterMillis(patient, 0, 1);
        assertTrue(latest - earliest >= backlogMillis * 9 / 10);
        assertTrue(queue.retryAfterMillis(urgent, 0, 0.5) < earliest);
        assertFalse(earliest <= 0);
    }
}
