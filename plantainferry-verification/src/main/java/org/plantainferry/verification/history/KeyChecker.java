package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Checks keys: withdrawn ones stop working, each works for its workspace only, no target sees one.
 *
 * <p>The workspace for which a request ran is the one in the session token of its answer. A target
 * reports every request with an Authorization header or with the text of a key.
 *
 * @since 0.1
 */
public final class KeyChecker implements Checker {
    /** The time after the accepted withdrawal after which no new request may succeed. */
    public static final long WITHDRAWAL_LIMIT_MILLIS = 5_000;

    @Override
    public String name() {
        return "keys";
    }

    @Override
    public List<String> check(History history) {
        List<String> broken = new ArrayList<>();
        history.truths()
                .values()
                .forEach(
                        truth -> {
                            if (truth.violations() > 0) {
                                broken.add(
                                        truth.service()
                                                + " saw a caller's key in "
                                                + truth.violations()
                                                + " requests");
                            }
                        });
        for (CallRecord record : history.calls()) {
            if (record.isSuccess()) {
                checkWorkspace(record, broken);
                checkWithdrawal(record, history, broken);
            }
        }
        return broken;
    }

    private static void checkWorkspace(CallRecord record, List<String> broken) {
        record.answer()
                .flatMap(Answer::sessionWorkspace)
                .filter(workspace -> !workspace.equals(record.call().workspace()))
                .ifPresent(workspace -> broken.add(record.describe() + " ran for " + workspace));
    }

    private static void checkWithdrawal(CallRecord record, History history, List<String> broken) {
        history.events(HistoryEvent.Kind.KEY_WITHDRAWN)
                .filter(event -> event.subject().equals(record.call().keyId()))
                .map(event -> record.startNanos() - event.nanos())
                .map(TimeUnit.NANOSECONDS::toMillis)
                .filter(age -> age > WITHDRAWAL_LIMIT_MILLIS)
                .forEach(
                        age ->
                                broken.add(
                                        record.describe()
                                                + " succeeded "
                                                + age
                                                + " ms after the withdrawal"));
    }
}
