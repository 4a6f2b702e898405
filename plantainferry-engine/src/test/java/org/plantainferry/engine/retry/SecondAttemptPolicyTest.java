package org.plantainferry.engine.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.plantainferry.engine.routing.SeededRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an instance that adds to the load of servers whose room is short, and against
 * statements that run twice. The loads: a flood that keeps the queue of a server full, a slow
 * server whose reads are hedged, and a primary that is lost.
 */
public final class SecondAttemptPolicyTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int ATTEMPTS = 6;
    private static final double MIDDLE = 0.5;
    private static final RoomState SHORT = new RoomState(true, 800 * MILLI);

    private final UniformRandomProvider mRandom = SeededRandom.create("SecondAttemptPolicyTest");
    private SecondAttemptPolicy mPolicy;

    @BeforeMethod
    public void createPolicy() {
        mPolicy = new SecondAttemptPolicy(new RetryBudget(0), 0);
    }

    private static FailedAttempt notRun(FailureCause cause, int attempts) {
        return new FailedAttempt(
                cause, Verdict.NOT_RUN, StatementKind.WRITE, false, false, attempts, SECOND);
    }

    private static FailedAttempt lost(StatementKind kind) {
        return new FailedAttempt(
                FailureCause.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, kind, false, false, 1, SECOND);
    }

    private static RetryDecision.Reason reason(RetryDecision decision) {
        return ((RetryDecision.GiveUp) decision).reason();
    }

    /** Simulates writes at one server, whose queue is full while more arrive than it serves. */
    private final class Flood {
        private static final int SLOTS = 4;
        private static final int QUEUE = 32;
        private static final long WORK_NANOS = 20 * MILLI;

        private record Arrival(long nanos, long deadlineNanos, int attempts) {}

        private final PriorityQueue<Arrival> mArrivals =
                new PriorityQueue<>(Comparator.comparingLong(Arrival::nanos));
        private final PriorityQueue<Long> mEnds = new PriorityQueue<>();
        private final long[] mSlotFreeNanos = new long[SLOTS];
        private int mFirstAttempts;
        private int mSecondAttempts;
        private int mServed;

        void add(int perSecond, int seconds) {
            for (int index = 0; index < perSecond * seconds; index++) {
                long nanos = mRandom.nextLong(seconds * SECOND);
                mArrivals.add(new Arrival(nanos, nanos + 2 * SECOND, 1));
            }
        }

        void run() {
            while (!mArrivals.isEmpty()) {
                Arrival arrival = mArrivals.poll();
                while (!mEnds.isEmpty() && mEnds.peek() <= arrival.nanos()) {
                    mPolicy.onAnswer(false, mEnds.poll());
                }
                mFirstAttempts += arrival.attempts() == 1 ? 1 : 0;
                mSecondAttempts += arrival.attempts() == 1 ? 0 : 1;
                if (arrival.attempts() == 1) {
                    mPolicy.onFirstAttempt(arrival.nanos());
                }
                if (mEnds.size() < SLOTS + QUEUE) {
                    serve(arrival.nanos());
                } else {
                    onBusy(arrival);
                }
            }
        }

        private void serve(long nowNanos) {
            int slot = 0;
            for (int index = 1; index < SLOTS; index++) {
                slot = mSlotFreeNanos[index] < mSlotFreeNanos[slot] ? index : slot;
            }
            mSlotFreeNanos[slot] = Math.max(nowNanos, mSlotFreeNanos[slot]) + WORK_NANOS;
            mEnds.add(mSlotFreeNanos[slot]);
            mServed++;
        }

        private void onBusy(Arrival arrival) {
            long now = arrival.nanos();
            mPolicy.onAnswer(true, now);
            FailedAttempt attempt =
                    new FailedAttempt(
                            FailureCause.BUSY,
                            Verdict.NOT_RUN,
                            StatementKind.WRITE,
                            false,
                            false,
                            arrival.attempts(),
                            arrival.deadlineNanos());
            RetryDecision decision =
                    mPolicy.decide(attempt, ATTEMPTS, RoomState.FREE, now, mRandom.nextDouble());
            if (decision instanceof RetryDecision.Retry retry) {
                mArrivals.add(
                        new Arrival(
                                now + retry.delayNanos(),
                                arrival.deadlineNanos(),
                                arrival.attempts() + 1));
            }
        }
    }

    @Test
    public void floodOfBusyIsNotMultiplied() {
        Flood flood = new Flood();
        flood.add(400, 10);
        flood.run();
        assertEquals(flood.mFirstAttempts, 4_000);
        assertTrue(flood.mServed >= 1_990, "served " + flood.mServed);
        assertTrue(flood.mSecondAttempts <= 410, "second attempts " + flood.mSecondAttempts);
    }

    @Test
    public void shortPeakIsRetriedUntilItIsServed() {
        Flood flood = new Flood();
        flood.add(100, 10);
        for (int index = 0; index < 42; index++) {
            flood.mArrivals.add(new Flood.Arrival(5 * SECOND, 7 * SECOND, 1));
        }
        flood.run();
        assertEquals(flood.mServed, 1_042);
    }

    @Test
    public void nothingIsRetriedAfterBusyWhereRoomIsShort() {
        RetryDecision decision =
                mPolicy.decide(notRun(FailureCause.BUSY, 1), ATTEMPTS, SHORT, 0, MIDDLE);
        assertEquals(reason(decision), RetryDecision.Reason.ROOM_SHORT);
    }

    @Test
    public void callersReturnWhenRoomIsExpectedAndNotAllAtOnce() {
        FailedAttempt busy = notRun(FailureCause.BUSY, 1);
        for (int index = 0; index < 1_000; index++) {
            RetryDecision decision = mPolicy.decide(busy, ATTEMPTS, SHORT, 0, mRandom.nextDouble());
            long afterNanos = ((RetryDecision.GiveUp) decision).retryAfterNanos();
            assertTrue(afterNanos >= 800 * MILLI && afterNanos <= 1_200 * MILLI);
        }
        RoomState farAway = new RoomState(true, 60 * SECOND);
        RetryDecision decision = mPolicy.decide(busy, ATTEMPTS, farAway, 0, 0);
        assertEquals(((RetryDecision.GiveUp) decision).retryAfterNanos(), 3 * SECOND);
    }

    @Test
    public void slowServerGetsNoHedgesWhereTheOthersHaveNoRoom() {
        assertFalse(mPolicy.mayHedge(SHORT, SECOND, 0));
        assertTrue(mPolicy.mayHedge(RoomState.FREE, SECOND, 0));
        assertFalse(mPolicy.mayHedge(RoomState.FREE, SECOND, SECOND - 5 * MILLI));
    }

    @Test
    public void fullQueuesEndHedgesUntilAnswersComeAgain() {
        for (int index = 0; index < 10; index++) {
            mPolicy.onAnswer(true, SECOND);
        }
        assertFalse(mPolicy.mayHedge(RoomState.FREE, 2 * SECOND, SECOND));
        assertTrue(mPolicy.mayHedge(RoomState.FREE, 4 * SECOND, 2 * SECOND));
        for (int index = 0; index < 10; index++) {
            mPolicy.onAnswer(true, 2 * SECOND);
            mPolicy.onAnswer(false, 2 * SECOND);
        }
        assertTrue(mPolicy.mayHedge(RoomState.FREE, 4 * SECOND, 2 * SECOND));
    }

    @Test
    public void hedgesLeaveLessForRetriesAfterBusy() {
        RetryBudget budget = new RetryBudget(0);
        SecondAttemptPolicy policy = new SecondAttemptPolicy(budget, 0);
        for (int index = 0; index < 12; index++) {
            policy.onHedge(0);
        }
        RetryDecision decision =
                policy.decide(notRun(FailureCause.BUSY, 1), ATTEMPTS, RoomState.FREE, 0, MIDDLE);
        assertEquals(reason(decision), RetryDecision.Reason.BUDGET_USED);
        assertTrue(policy.mayHedge(RoomState.FREE, SECOND, 0));
    }

    @Test
    public void lostPrimaryCostsNoBudgetAndStatementsMoveAtOnce() {
        for (FailureCause cause :
                new FailureCause[] {FailureCause.WRONG_SERVER, FailureCause.BEHIND}) {
            for (int index = 0; index < 1_000; index++) {
                assertEquals(
                        mPolicy.decide(notRun(cause, 1), ATTEMPTS, SHORT, 0, MIDDLE),
                        new RetryDecision.Retry(0));
            }
        }
        assertEquals(
                mPolicy.decide(notRun(FailureCause.CONNECT_FAILED, 2), ATTEMPTS, SHORT, 0, MIDDLE),
                new RetryDecision.Retry(30 * MILLI));
    }

    @Test
    public void writeWithoutAnAnswerIsNeverRepeated() {
        for (RoomState room : new RoomState[] {RoomState.FREE, SHORT}) {
            RetryDecision decision =
                    mPolicy.decide(lost(StatementKind.WRITE), ATTEMPTS, room, 0, MIDDLE);
            assertEquals(reason(decision), RetryDecision.Reason.NOT_SAFE);
        }
    }

    @Test
    public void readWithoutAnAnswerIsRepeatedOnlyWhereThereIsRoom() {
        FailedAttempt read = lost(StatementKind.READ);
        for (int index = 0; index < 100; index++) {
            assertEquals(
                    mPolicy.decide(read, ATTEMPTS, RoomState.FREE, 0, MIDDLE),
                    new RetryDecision.Retry(0));
        }
        assertEquals(
                reason(mPolicy.decide(read, ATTEMPTS, SHORT, 0, MIDDLE)),
                RetryDecision.Reason.ROOM_SHORT);
    }

    @Test
    public void pausesDoubleAndEndAtTheLimitsOfTheStatement() {
        long[] limits = {15, 30, 60, 120, 240, 240};
        for (int attempts = 1; attempts <= limits.length; attempts++) {
            long pause = SecondAttemptPolicy.pauseNanos(attempts, MIDDLE);
            assertEquals(pause, limits[attempts - 1] * MILLI);
        }
        assertEquals(
                reason(
                        mPolicy.decide(
                                notRun(FailureCause.BUSY, ATTEMPTS),
                                ATTEMPTS,
                                RoomState.FREE,
                                0,
                                MIDDLE)),
                RetryDecision.Reason.ATTEMPTS_USED);
        assertEquals(
                reason(
                        mPolicy.decide(
                                notRun(FailureCause.BUSY, 1),
                                ATTEMPTS,
                                RoomState.FREE,
                                SECOND - 20 * MILLI,
                                MIDDLE)),
                RetryDecision.Reason.DEADLINE);
    }

    @Test
    public void manyInstancesDivideTheRetriesThatNeedNoRequests() {
        RetryBudget budget = new RetryBudget(0);
        assertEquals(budget.available(0), 10);
        budget.shareAmong(4);
        assertEquals(budget.available(0), 2);
        budget.shareAmong(136);
        assertEquals(budget.available(0), 1);
    }
}
