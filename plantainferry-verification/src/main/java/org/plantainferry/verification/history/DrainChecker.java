package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks that no connection ends without an answer after a request was sent.
 *
 * <p>This holds during normal operation as well as during a graceful shutdown. Only an instance
 * that was killed, also one that was frozen before, may end a connection without an answer.
 *
 * @since 0.1
 */
public final class DrainChecker implements Checker {
    @Override
    public String name() {
        return "drain";
    }

    @Override
    public List<String> check(History history) {
        List<String> violations = new ArrayList<>();
        for (CallRecord record : history.calls()) {
            boolean isKilled =
                    history.wasInState(
                            HistoryEvent.Kind.INSTANCE_KILLED,
                            HistoryEvent.Kind.INSTANCE_STARTED,
                            record.call().instance(),
                            record.startNanos(),
                            record.endNanos());
            if (record.outcome() == Outcome.CUT && !isKilled) {
                violations.add(
                        record.describe()
                                + " lost its connection after "
                                + record.durationMillis()
                                + " ms");
            }
        }
        return violations;
    }
}
