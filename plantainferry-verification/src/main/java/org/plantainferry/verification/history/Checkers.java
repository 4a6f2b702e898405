package org.plantainferry.verification.history;

import java.util.List;

/**
 * Lists the checkers of all guarantees.
 *
 * @since 0.1
 */
public final class Checkers {
    private Checkers() {}

    /** Returns one checker of each kind. */
    public static List<Checker> all() {
        return List.of(
                new ReadYourWritesChecker(),
                new MonotonicReadsChecker(),
                new AtMostOnceChecker(),
                new NoLostWriteChecker(),
                new ReplacedPrimaryChecker(),
                new TransactionChecker(),
                new KeyChecker(),
                new RateChecker(),
                new AnswerMatchChecker(),
                new RefusalChecker(),
                new LeavingTargetChecker(),
                new ConfigurationChecker(),
                new DrainChecker());
    }
}
