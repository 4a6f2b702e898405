package org.plantainferry.engine.processor;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Guards against a processor that is kept busy by requests whose callers have given up: after a
 * loss of all instances, nearly nothing was served for seconds by instances that worked all the
 * time.
 */
public final class WorkLimitTest {
    private static final long OBJECTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(4);
    private static final int STEPS = 5;
    private static final long ARRIVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(7);
    private static final long DAY_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** Has some steps of work on the processor left. */
    private static final class Request {
        private final long mArrivedNanos;
        private int mSteps = STEPS;

        Request(long arrivedNanos) {
            mArrivedNanos = arrivedNanos;
        }
    }

    /** Counts what the processor has served within the objective, and what it could have. */
    private static final class Outcome {
        private int mInTime;
        private int mPossible;
    }

    /**
     * Plays a processor that turns to all requests in turn. Nearly three times as many requests
     * arrive as it can serve; a caller gives up at its deadline, which the processor does not
     * notice.
     */
    private static Outcome play(WorkLimit limit) {
        Outcome outcome = new Outcome();
        Deque<Request> open = new ArrayDeque<>();
        long nextArrivalNanos = 0;
        for (long now = 0; now < DAY_NANOS; now += STEP_NANOS) {
            while (nextArrivalNanos <= now) {
                if (limit.mayBegin()) {
                    limit.onBegin();
                    open.addLast(new Request(nextArrivalNanos));
                }
                nextArrivalNanos += ARRIVAL_NANOS;
            }
            if (!open.isEmpty()) {
                work(limit, open, outcome, now + STEP_NANOS);
            }
        }
        outcome.mPossible = (int) (DAY_NANOS / (STEP_NANOS * STEPS));
        return outcome;
    }

    private static void work(WorkLimit limit, Deque<Request> open, Outcome outcome, long nowNanos) {
        Request request = open.removeFirst();
        request.mSteps--;
        long elapsedNanos = nowNanos - request.mArrivedNanos;
        if (request.mSteps > 0 && elapsedNanos < DEADLINE_NANOS) {
            open.addLast(request);
            return;
        }
        limit.onEnd(elapsedNanos, OBJECTIVE_NANOS, nowNanos);
        if (request.mSteps == 0 && elapsedNanos <= OBJECTIVE_NANOS) {
            outcome.mInTime++;
        }
    }

    @Test
    public void servesInTimeMostOfWhatAShortProcessorCanServe() {
        WorkLimit limit = new WorkLimit();
        limit.onShortage(true);
        Outcome outcome = play(limit);
        assertTrue(
                outcome.mInTime >= outcome.mPossible / 2,
                outcome.mInTime + " of " + outcome.mPossible);
    }

    /** Shows that the load of the test is the one that was seen. */
    @Test
    public void wouldServeNearlyNothingInTimeWithoutALimit() {
        Outcome outcome = play(new WorkLimit());
        assertTrue(
                outcome.mInTime <= outcome.mPossible / 10,
                outcome.mInTime + " of " + outcome.mPossible);
    }

    @Test
    public void limitsNothingWithoutAShortage() {
        WorkLimit limit = new WorkLimit();
        for (int request = 0; request < 2_000; request++) {
            assertTrue(limit.mayBegin());
            limit.onBegin();
        }
        limit.onShortage(true);
        assertFalse(limit.mayBegin());
        limit.onShortage(false);
        assertTrue(limit.mayBegin());
    }

    @Test
    public void alwaysLetsOneRequestBegin() {
        WorkLimit limit = new WorkLimit();
        limit.onShortage(true);
        for (int request = 1; request <= 50; request++) {
            assertTrue(limit.mayBegin());
            limit.onBegin();
            limit.onEnd(DEADLINE_NANOS, OBJECTIVE_NANOS, request * DEADLINE_NANOS);
        }
        assertEquals(limit.inProgress(), 0);
    }
}
