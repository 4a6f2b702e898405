package org.plantainferry.verification.history;

import static org.plantainferry.verification.history.HistoryBuilder.ran;
import static org.plantainferry.verification.history.HistoryBuilder.refused;
import static org.plantainferry.verification.history.SessionCheckersTest.assertBroken;
import static org.plantainferry.verification.history.SessionCheckersTest.withOutcome;

import org.testng.annotations.Test;

/** Guards against checkers of keys, rates, refusals and changes that pass a broken history. */
public class ServiceCheckersTest {
    private static final HistoryEvent.Kind ACCEPTED = HistoryEvent.Kind.VERSION_ACCEPTED;

    @Test
    public void findsKeysThatWorkTooLongOrForOthersOrReachTargets() {
        KeyChecker checker = new KeyChecker();
        assertBroken(
                checker, 0, withdrawn().call(Operation.READ, "GET k", 4_000, 9_000, ran("", 1, 1)));
        assertBroken(
                checker,
                0,
                withdrawn()
                        .call(
                                Operation.READ,
                                "GET k",
                                7_000,
                                7_001,
                                refused("NOT_RUN", "KEY_INVALID", 0)));
        assertBroken(
                checker, 1, withdrawn().call(Operation.READ, "GET k", 6_100, 6_101, ran("", 1, 1)));
        assertBroken(
                checker,
                1,
                withdrawn().call(Operation.READ, "GET k", 1, 2, ran("", 1, 1, "other")));
        assertBroken(checker, 1, withdrawn().violation());
    }

    @Test
    public void findsOverspendInAnyWindowAndAllowsForUncertainTimes() {
        RateChecker checker = new RateChecker();
        HistoryBuilder good = new HistoryBuilder().limit(10, 2);
        HistoryBuilder bad = new HistoryBuilder().limit(10, 2);
        HistoryBuilder wide = new HistoryBuilder().limit(10, 2);
        for (int i = 0; i < 20; i++) {
            good.call(Operation.READ, "GET k", i * 100, i * 100 + 1, ran("", 1, 1));
            bad.call(Operation.READ, "GET k", 1_000 + i * 90, 1_001 + i * 90, ran("", 1, 1));
            wide.call(Operation.READ, "GET k", 100, 5_000, ran("", 1, 1));
        }
        assertBroken(checker, 0, good);
        assertBroken(checker, 1, bad.call(Operation.READ, "GET k", 2_800, 2_801, ran("", 1, 1)));
        assertBroken(checker, 0, wide);
    }

    @Test
    public void findsRefusalsWithoutFormOrTooLate() {
        RefusalChecker checker = new RefusalChecker();
        assertBroken(checker, 0, refusal("NOT_RUN", "OVERLOADED", 5, 1_100));
        assertBroken(checker, 1, refusal("", "OVERLOADED", 5, 10));
        assertBroken(checker, 1, refusal("NOT_RUN", "", 5, 10));
        assertBroken(checker, 1, refusal("NOT_RUN", "OVERLOADED", 0, 10));
        assertBroken(checker, 1, refusal("NOT_RUN", "OVERLOADED", 5, 1_300));
        assertBroken(checker, 1, withOutcome(Outcome.TIMEOUT, 0, 2_000));
        assertBroken(
                checker,
                0,
                withOutcome(Outcome.TIMEOUT, 0, 2_000)
                        .event(HistoryEvent.Kind.INSTANCE_FROZEN, "como-a-1", 500, 0));
    }

    @Test
    public void findsNewWorkAtLeavingTargets() {
        LeavingTargetChecker checker = new LeavingTargetChecker();
        assertBroken(checker, 0, new HistoryBuilder().leaving(2_900));
        assertBroken(checker, 1, new HistoryBuilder().leaving(3_100));
        HistoryBuilder leaving =
                new HistoryBuilder().event(HistoryEvent.Kind.SERVER_LEAVING, "ledger-1-a", 0, 0);
        assertBroken(
                checker, 0, leaving.call(Operation.READ, "GET k", 2_000, 2_001, ran("", 1, 1)));
        assertBroken(
                checker, 1, leaving.call(Operation.READ, "GET k", 3_500, 3_501, ran("", 1, 1)));
    }

    @Test
    public void findsVersionsThatGoBackOrArriveLate() {
        ConfigurationChecker checker = new ConfigurationChecker();
        assertBroken(checker, 0, accepted().sample(1, 11_000, 1).sample(1, 12_900, 2));
        assertBroken(checker, 1, accepted().sample(1, 2_000, 2).sample(1, 3_000, 1));
        assertBroken(checker, 0, accepted().sample(1, 2_000, 2).sample(2, 3_000, 1));
        assertBroken(checker, 1, accepted().sample(1, 12_100, 1));
        HistoryBuilder cut = accepted().event(HistoryEvent.Kind.INSTANCE_CUT, "como-a-1", 500, 0);
        assertBroken(checker, 0, cut.sample(1, 12_100, 1));
        HistoryBuilder healed = cut.event(HistoryEvent.Kind.INSTANCE_HEALED, "como-a-1", 900, 0);
        assertBroken(checker, 1, healed.sample(1, 12_100, 1));
    }

    @Test
    public void findsRequestsThatAShutdownCut() {
        DrainChecker checker = new DrainChecker();
        assertBroken(checker, 0, withOutcome(Outcome.NOT_SENT, 0, 10));
        assertBroken(
                checker,
                1,
                withOutcome(Outcome.CUT, 0, 10)
                        .event(HistoryEvent.Kind.INSTANCE_TERMINATED, "como-a-1", 5, 0));
        assertBroken(
                checker,
                0,
                withOutcome(Outcome.CUT, 0, 10)
                        .event(HistoryEvent.Kind.INSTANCE_KILLED, "como-a-1", 5, 0));
    }

    private static HistoryBuilder withdrawn() {
        return new HistoryBuilder().event(HistoryEvent.Kind.KEY_WITHDRAWN, "bench-b", 1_000, 0);
    }

    private static HistoryBuilder accepted() {
        return new HistoryBuilder().event(ACCEPTED, "configuration", 1_000, 2);
    }

    private static HistoryBuilder refusal(String verdict, String code, long retry, long millis) {
        return new HistoryBuilder()
                .call(Operation.READ, "GET k", 0, millis, refused(verdict, code, retry));
    }
}
