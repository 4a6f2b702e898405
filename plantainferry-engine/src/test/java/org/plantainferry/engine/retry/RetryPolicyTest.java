package org.plantainferry.engine.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.plantainferry.engine.routing.SeededRandom;
import org.testng.annotations.Test;

/** Guards against requests that run twice and against storms of repeats. */
public class RetryPolicyTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    private final UniformRandomProvider mRandom = SeededRandom.create("RetryPolicyTest");

    private RetryDecision decide(FailedAttempt attempt, long now) {
        return new RetryPolicy(new RetryBudget(0), mRandom).decide(attempt, now);
    }

    private static FailedAttempt readNotRun(FailureCause cause, boolean inTransaction) {
        return new FailedAttempt(
                cause, Verdict.NOT_RUN, StatementKind.READ, false, inTransaction, 1, SECOND);
    }

    private static RetryDecision giveUp(RetryDecision.Reason reason) {
        return new RetryDecision.GiveUp(reason);
    }

    /** A write that may have run must not be sent again, whatever the cause of the failure. */
    @Test
    public void neverRetriesWriteThatMayHaveRunWithoutKey() {
        for (FailureCause cause : FailureCause.values()) {
            for (Verdict verdict : new Verdict[] {Verdict.MAY_HAVE_RUN, Verdict.RUN}) {
                for (int attempts = 1; attempts <= 3; attempts++) {
                    FailedAttempt attempt =
                            new FailedAttempt(
                                    cause,
                                    verdict,
                                    StatementKind.WRITE,
                                    false,
                                    false,
                                    attempts,
                                    SECOND);
                    assertEquals(decide(attempt, 0), giveUp(RetryDecision.Reason.NOT_SAFE));
                }
            }
        }
    }

    /** A statement of a transaction belongs to one connection, so it cannot be repeated. */
    @Test
    public void neverRetriesStatementOfTransaction() {
        FailedAttempt attempt = readNotRun(FailureCause.BUSY, true);
        assertEquals(decide(attempt, 0), giveUp(RetryDecision.Reason.NOT_SAFE));
    }

    /** All other combinations are repeated, at most twice, and never past the deadline. */
    @Test
    public void retriesSafeRequestsWithinBounds() {
        for (int i = 0; i < 5_000; i++) {
            long now = mRandom.nextLong(SECOND);
            long deadline = now + mRandom.nextLong(100 * MILLI);
            boolean key = mRandom.nextBoolean();
            int attempts = 1 + mRandom.nextInt(4);
            FailedAttempt attempt =
                    new FailedAttempt(
                            FailureCause.CONNECTION_LOST,
                            key ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
                            StatementKind.WRITE,
                            key,
                            false,
                            attempts,
                            deadline);
            RetryDecision decision = decide(attempt, now);
            if (attempts >= 3) {
                assertEquals(decision, giveUp(RetryDecision.Reason.ATTEMPTS_USED));
            } else if (deadline - now < 10 * MILLI) {
                assertEquals(decision, giveUp(RetryDecision.Reason.DEADLINE));
            } else {
                long delay = ((RetryDecision.Retry) decision).delayNanos();
                assertTrue(delay >= 0 && delay <= attempts * 20 * MILLI);
                assertTrue(now + delay + 10 * MILLI <= deadline);
            }
        }
    }

    /** A replica that is behind must not cost a pause or use up the budget. */
    @Test
    public void reroutesImmediatelyWithoutUsingTheBudget() {
        RetryBudget budget = new RetryBudget(0);
        RetryPolicy policy = new RetryPolicy(budget, mRandom);
        FailedAttempt behind = readNotRun(FailureCause.BEHIND, false);
        assertEquals(policy.decide(behind, 0), new RetryDecision.Retry(0));
        assertEquals(budget.available(0), 10);
    }

    /** A statement with a fault must not be sent to other servers. */
    @Test
    public void doesNotRetryRejectedRequest() {
        FailedAttempt rejected = readNotRun(FailureCause.REQUEST_REJECTED, false);
        assertEquals(decide(rejected, 0), giveUp(RetryDecision.Reason.NOT_USEFUL));
    }

    /** No repeat may be granted beyond a tenth of the requests of the window plus 10. */
    @Test
    public void budgetHoldsAtEveryRetry() {
        RetryBudget budget = new RetryBudget(0);
        int steps = 40_000;
        int[] requests = new int[steps + 1];
        int[] repeats = new int[steps + 1];
        for (int step = 0; step < steps; step++) {
            long now = step * 5 * MILLI;
            boolean burst = step / 3_000 % 2 == 0;
            int arrived = mRandom.nextInt(burst ? 4 : 2);
            for (int i = 0; i < arrived; i++) {
                budget.onRequest(now);
            }
            requests[step + 1] = requests[step] + arrived;
            int taken = budget.tryAcquire(now) ? 1 : 0;
            repeats[step + 1] = repeats[step] + taken;
            int counted = Math.max(0, (step * 5 / 1_000 - 10) * 200);
            int window = Math.max(0, step - 1_999);
            int allowed = (requests[step + 1] - requests[counted]) / 10 + 10;
            assertTrue(taken == 0 || repeats[step + 1] - repeats[window] <= allowed);
        }
        assertTrue(repeats[steps] > requests[steps] / 12, "the budget is not used");
    }

    /** A spent budget must come back after the window, also after a long pause. */
    @Test
    public void budgetRecoversAfterPause() {
        RetryBudget budget = new RetryBudget(0);
        for (int i = 0; i < 10; i++) {
            assertTrue(budget.tryAcquire(0));
        }
        assertTrue(!budget.tryAcquire(9 * SECOND));
        assertTrue(budget.tryAcquire(3_600 * SECOND));
        assertEquals(budget.available(3_600 * SECOND), 9);
    }
}
