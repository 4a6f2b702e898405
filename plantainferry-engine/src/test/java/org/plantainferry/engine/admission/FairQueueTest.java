package org.plantainferry.engine.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.engine.routing.SeededRandom;
import org.testng.annotations.Test;

/** Guards against a workspace using the share of others, and against late refusals. */
public class FairQueueTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final WorkspaceName A = new WorkspaceName("a");
    private static final WorkspaceName B = new WorkspaceName("b");

    private final UniformRandomProvider mRandom = SeededRandom.create("FairQueueTest");

    private static boolean isQueued(OfferResult<?> result) {
        return result instanceof OfferResult.Queued;
    }

    private static OfferResult.Reason reason(OfferResult<?> result) {
        return ((OfferResult.Refused<?>) result).reason();
    }

    /** Returns how many requests of each of 8 workspaces are served in 20 s. */
    private Map<WorkspaceName, Integer> countServed(int floodFactor) {
        FairQueue<WorkspaceName, WorkspaceName> queue = new FairQueue<>(256, MILLI);
        Map<WorkspaceName, Integer> served = new HashMap<>();
        for (int tick = 0; tick < 20_000; tick++) {
            long now = tick * MILLI;
            for (int i = 0; i < 8; i++) {
                WorkspaceName workspace = new WorkspaceName("w" + i);
                double rate = 0.1 * (i == 0 ? floodFactor : 1);
                for (double remaining = rate; remaining > 0; remaining--) {
                    if (mRandom.nextDouble() < Math.min(1, remaining)) {
                        queue.offer(workspace, workspace, now + SECOND, now);
                    }
                }
            }
            queue.removeExpired(now);
            queue.poll(now).ifPresent(workspace -> served.merge(workspace, 1, Integer::sum));
        }
        return served;
    }

    /** A workspace that offers ten times its rate must not reduce the share of the others. */
    @Test
    public void floodingWorkspaceLeavesSharesOfOthersUnchanged() {
        Map<WorkspaceName, Integer> servedNormally = countServed(1);
        Map<WorkspaceName, Integer> servedUnderFlood = countServed(10);
        for (int i = 1; i < 8; i++) {
            WorkspaceName workspace = new WorkspaceName("w" + i);
            double ratio = (double) servedUnderFlood.get(workspace) / servedNormally.get(workspace);
            assertTrue(ratio > 0.9, workspace + " got " + ratio + " of its share");
        }
    }

    /** Backlogged workspaces must be served in proportion to their weights, even after a change. */
    @Test
    public void sharesFollowWeights() {
        FairQueue<WorkspaceName, WorkspaceName> queue = new FairQueue<>(1_000, 1);
        queue.setWeight(A, 3);
        assertEquals(countServedOfA(queue, 40), 30);
        queue.setWeight(A, 1);
        assertEquals(countServedOfA(queue, 40), 20);
    }

    private int countServedOfA(FairQueue<WorkspaceName, WorkspaceName> queue, int polls) {
        int first = 0;
        for (int i = 0; i < polls; i++) {
            while (queue.size(A) < 5) {
                queue.offer(A, A, SECOND, 0);
            }
            while (queue.size(B) < 5) {
                queue.offer(B, B, SECOND, 0);
            }
            first += queue.poll(0).orElseThrow().equals(A) ? 1 : 0;
        }
        return first;
    }

    /** The queue of a workspace must be bounded; a refusal has a retry time and did not run. */
    @Test
    public void refusesBeyondWorkspaceLimit() {
        FairQueue<WorkspaceName, Integer> queue = new FairQueue<>(1_000, MILLI);
        for (int i = 0; i < FairQueue.MAXIMUM_WAITING_PER_WORKSPACE; i++) {
            assertTrue(isQueued(queue.offer(A, i, SECOND, 0)));
        }
        OfferResult<Integer> result = queue.offer(A, 64, SECOND, 0);
        assertEquals(reason(result), OfferResult.Reason.WORKSPACE_LIMIT);
        PlantainferryException error = ((OfferResult.Refused<Integer>) result).toException();
        assertEquals(error.code(), ErrorCode.OVERLOADED);
        assertEquals(error.verdict(), Verdict.NOT_RUN);
        assertTrue(error.retryAfterMillis() >= 1);
        assertTrue(isQueued(queue.offer(B, 0, SECOND, 0)));
    }

    /** At the total limit, a request of a short queue must displace one of the longest queue. */
    @Test
    public void displacesFromLongestQueueAtTotalLimit() {
        FairQueue<WorkspaceName, String> queue = new FairQueue<>(4, 1);
        for (int i = 0; i < 4; i++) {
            queue.offer(A, "a" + i, SECOND, 0);
        }
        assertEquals(queue.offer(B, "b0", SECOND, 0), new OfferResult.Queued<>(Optional.of("a3")));
        assertEquals(queue.offer(B, "b1", SECOND, 0), new OfferResult.Queued<>(Optional.of("a2")));
        assertEquals(reason(queue.offer(B, "b2", SECOND, 0)), OfferResult.Reason.TOTAL_LIMIT);
        assertEquals(queue.size(), 4);
    }

    /** Only requests that would wait past their deadline must be refused at once. */
    @Test
    public void refusesWhenWaitExceedsDeadline() {
        FairQueue<WorkspaceName, Integer> queue = new FairQueue<>(1_000, 10 * MILLI);
        for (int i = 0; i < 20; i++) {
            assertTrue(isQueued(queue.offer(A, i, SECOND, 0)));
        }
        OfferResult<Integer> late = queue.offer(A, 20, 100 * MILLI, 0);
        assertEquals(reason(late), OfferResult.Reason.WAIT_TOO_LONG);
        assertEquals(((OfferResult.Refused<Integer>) late).retryAfterMillis(), 111);
        assertTrue(isQueued(queue.offer(B, 0, 100 * MILLI, 0)), "B does not wait behind A");
    }

    /** A single stall, such as a change of primary, must not cause refusals afterwards. */
    @Test
    public void recoversTheEstimateAfterASingleStall() {
        FairQueue<WorkspaceName, Integer> queue = new FairQueue<>(1_000, MILLI);
        for (int i = 0; i < 30; i++) {
            queue.offer(A, i, 10 * SECOND, 0);
        }
        queue.poll(3 * SECOND);
        assertTrue(queue.estimatedWaitNanos(A, 3 * SECOND) < 100 * MILLI);
    }

    /** Expired requests must not be served, and each must be returned once. */
    @Test
    public void removesExpiredRequestsOnce() {
        FairQueue<WorkspaceName, Integer> queue = new FairQueue<>(10, 1);
        queue.offer(A, 1, MILLI, 0);
        queue.offer(A, 2, SECOND, 0);
        queue.offer(B, 3, MILLI, 0);
        assertEquals(queue.poll(MILLI), Optional.of(2));
        assertEquals(queue.poll(MILLI), Optional.empty());
        assertEquals(queue.removeExpired(MILLI).size(), 2);
        assertEquals(queue.removeExpired(MILLI), List.of());
        assertEquals(queue.size(), 0);
    }

    /** Requests of a withdrawn key must be removable, and writes must not delay reads. */
    @Test
    public void removesMatchingRequests() {
        FairQueue<WorkspaceName, Integer> queue = new FairQueue<>(10, 1);
        for (int i = 0; i < 6; i++) {
            queue.offer(i < 3 ? A : B, i, SECOND, 0);
        }
        assertEquals(queue.poll(0, i -> i == 5), Optional.of(5));
        assertEquals(queue.poll(0, i -> i > 5), Optional.empty());
        assertEquals(queue.removeIf(i -> i % 2 == 0), List.of(0, 2, 4));
        assertEquals(queue.poll(0), Optional.of(1));
        assertEquals(queue.poll(0), Optional.of(3));
        assertEquals(queue.size(), 0);
    }

    /** Each request must leave the queue exactly once, for any sequence of operations. */
    @Test
    public void removesEachRequestOnceInRandomHistories() {
        FairQueue<WorkspaceName, Integer> queue = new FairQueue<>(40, MILLI);
        List<Integer> entered = new ArrayList<>();
        List<Integer> left = new ArrayList<>();
        for (int i = 0; i < 50_000; i++) {
            long now = i * MILLI / 4;
            int modulus = 2 + mRandom.nextInt(20);
            switch (mRandom.nextInt(20)) {
                case 0 -> left.addAll(queue.removeExpired(now));
                case 1 -> left.addAll(queue.removeIf(request -> request % modulus == 0));
                case 2, 3, 4, 5, 6, 7 -> queue.poll(now).ifPresent(left::add);
                case 8 -> queue.poll(now, r -> r % modulus != 0).ifPresent(left::add);
                case 9 -> queue.setWeight(workspace(), 0.5 + mRandom.nextDouble());
                default -> {
                    long deadline = now + mRandom.nextLong(60 * MILLI);
                    OfferResult<Integer> result = queue.offer(workspace(), i, deadline, now);
                    if (result instanceof OfferResult.Queued<Integer> queued) {
                        entered.add(i);
                        queued.displaced().ifPresent(left::add);
                    }
                }
            }
            assertTrue(queue.size() <= 40);
        }
        left.addAll(queue.removeIf(request -> true));
        left.addAll(queue.removeExpired(0));
        left.sort(null);
        assertEquals(left, entered);
    }

    private WorkspaceName workspace() {
        return new WorkspaceName("w" + mRandom.nextInt(5));
    }
}
