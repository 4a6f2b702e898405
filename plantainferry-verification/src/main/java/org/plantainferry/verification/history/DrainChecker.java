package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks that no connection ends without an answer after the request was sent.
 *
 * <p>This holds during a graceful shutdown as well as without any fault. Only an instance that was
 * killed, or frozen until it was killed, is excused.
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
        List<String> broken = new ArrayList<>();
        for (CallRecord record : history.calls()) {
            boolean isKilled =
                    history.wasInState(
                            HistoryEvent.Kind.INSTANCE_KILLED,
                            HistoryEvent.Kind.INSTANCE_STARTED,
                            record.call().instance(),
                            record.startNanos(),
                            record.endNanos());
            if (record.outcome() == Outcome.CUT && !isKilled) {
                broken.add(record.describe() + " after " + record.durationMillis() + " ms");
            }
        }
        return broken;
    }
}
