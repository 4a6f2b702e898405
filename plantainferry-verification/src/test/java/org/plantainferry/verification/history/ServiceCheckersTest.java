package org.plantainferry.verification.history;

import static org.plantainferry.verification.history.HistoryBuilder.refused;
import static org.plantainferry.verification.history.HistoryBuilder.succeeded;
import static org.plantainferry.verification.history.SessionCheckersTest.assertViolations;
import static org.plantainferry.verification.history.SessionCheckersTest.withOutcome;

import org.testng.annotations.Test;

/** Guards against checkers of keys, rates, refusals and changes that pass a broken history. */
public class ServiceCheckersTest {
    private static final HistoryEvent.Kind ACCEPTED = HistoryEvent.Kind.VERSION_ACCEPTED;

    @Test
    public void findsWithdrawnMisattributedAndForwardedKeys() {
        KeyChecker checker = new KeyChecker();
        assertViolations(
                checker,
                0,
                withWithdrawnKey()
                        .call(Operation.READ, "GET k", 4_000, 9_000, succeeded("", 1, 1)));
        assertViolations(
                checker,
                0,
                withWithdrawnKey()
                        .call(
                                Operation.READ,
                                "GET k",
                                7_000,
                                7_001,
                                refused("NOT_RUN", "KEY_INVALID", 0)));
        assertViolations(
                checker,
                1,
                withWithdrawnKey()
                        .call(Operation.READ, "GET k", 6_100, 6_101, succeeded("", 1, 1)));
        assertViolations(
                checker,
                1,
                withWithdrawnKey()
                        .call(Operation.READ, "GET k", 1, 2, succeeded("", 1, 1, "other")));
        assertViolations(checker, 1, withWithdrawnKey().keyViolation());
    }

    @Test
    public void findsRateExcessInAnyWindowUnlessTimesAreUncertain() {
        RateChecker checker = new RateChecker();
        HistoryBuilder good = new HistoryBuilder().rateLimit(10, 2);
        HistoryBuilder bad = new HistoryBuilder().rateLimit(10, 2);
        HistoryBuilder wide = new HistoryBuilder().rateLimit(10, 2);
        for (int i = 0; i < 20; i++) {
            good.call(Operation.READ, "GET k", i * 100, i * 100 + 1, succeeded("", 1, 1));
            bad.call(Operation.READ, "GET k", 1_000 + i * 90, 1_001 + i * 90, succeeded("", 1, 1));
            wide.call(Operation.READ, "GET k", 100, 5_000, succeeded("", 1, 1));
        }
        assertViolations(checker, 0, good);
        assertViolations(
                checker, 1, bad.call(Operation.READ, "GET k", 2_800, 2_801, succeeded("", 1, 1)));
        assertViolations(checker, 0, wide);
    }

    @Test
    public void findsIncompleteOrLateRefusals() {
        RefusalChecker checker = new RefusalChecker();
        assertViolations(checker, 0, withRefusal("NOT_RUN", "OVERLOADED", 5, 1_100));
        assertViolations(checker, 1, withRefusal("", "OVERLOADED", 5, 10));
        assertViolations(checker, 1, withRefusal("NOT_RUN", "", 5, 10));
        assertViolations(checker, 1, withRefusal("NOT_RUN", "OVERLOADED", 0, 10));
        assertViolations(checker, 1, withRefusal("NOT_RUN", "OVERLOADED", 5, 1_300));
        assertViolations(checker, 1, withOutcome(Outcome.TIMEOUT, 0, 2_000));
        assertViolations(
                checker,
                0,
                withOutcome(Outcome.TIMEOUT, 0, 2_000)
                        .event(HistoryEvent.Kind.INSTANCE_FROZEN, "como-a-1", 500, 0));
    }

    @Test
    public void findsNewWorkAtLeavingTargets() {
        LeavingTargetChecker checker = new LeavingTargetChecker();
        assertViolations(checker, 0, new HistoryBuilder().workAtLeavingServer(2_900));
        assertViolations(checker, 1, new HistoryBuilder().workAtLeavingServer(3_100));
        HistoryBuilder leaving =
                new HistoryBuilder().event(HistoryEvent.Kind.SERVER_LEAVING, "ledger-1-a", 0, 0);
        assertViolations(
                checker,
                0,
                leaving.call(Operation.READ, "GET k", 2_000, 2_001, succeeded("", 1, 1)));
        assertViolations(
                checker,
                1,
                leaving.call(Operation.READ, "GET k", 3_500, 3_501, succeeded("", 1, 1)));
    }

    @Test
    public void findsVersionsThatDecreaseOrArriveLate() {
        ConfigurationChecker checker = new ConfigurationChecker();
        assertViolations(
                checker,
                0,
                withAcceptedVersion().versionSample(1, 11_000, 1).versionSample(1, 12_900, 2));
        assertViolations(
                checker,
                1,
                withAcceptedVersion().versionSample(1, 2_000, 2).versionSample(1, 3_000, 1));
        assertViolations(
                checker,
                0,
                withAcceptedVersion().versionSample(1, 2_000, 2).versionSample(2, 3_000, 1));
        assertViolations(checker, 1, withAcceptedVersion().versionSample(1, 12_100, 1));
        HistoryBuilder cut =
                withAcceptedVersion().event(HistoryEvent.Kind.INSTANCE_CUT, "como-a-1", 500, 0);
        assertViolations(checker, 0, cut.versionSample(1, 12_100, 1));
        HistoryBuilder healed = cut.event(HistoryEvent.Kind.INSTANCE_HEALED, "como-a-1", 900, 0);
        assertViolations(checker, 1, healed.versionSample(1, 12_100, 1));
    }

    @Test
    public void findsRequestsCutByShutdown() {
        DrainChecker checker = new DrainChecker();
        assertViolations(checker, 0, withOutcome(Outcome.NOT_SENT, 0, 10));
        assertViolations(
                checker,
                1,
                withOutcome(Outcome.CUT, 0, 10)
                        .event(HistoryEvent.Kind.INSTANCE_TERMINATED, "como-a-1", 5, 0));
        assertViolations(
                checker,
                0,
                withOutcome(Outcome.CUT, 0, 10)
                        .event(HistoryEvent.Kind.INSTANCE_KILLED, "como-a-1", 5, 0));
    }

    private static HistoryBuilder withWithdrawnKey() {
        return new HistoryBuilder().event(HistoryEvent.Kind.KEY_WITHDRAWN, "bench-b", 1_000, 0);
    }

    private static HistoryBuilder withAcceptedVersion() {
        return new HistoryBuilder().event(ACCEPTED, "configuration", 1_000, 2);
    }

    private static HistoryBuilder withRefusal(
            String verdict, String code, long retry, long millis) {
        return new HistoryBuilder()
                .call(Operation.READ, "GET k", 0, millis, refused(verdict, code, retry));
    }
}
