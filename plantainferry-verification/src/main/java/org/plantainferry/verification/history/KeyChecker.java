package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Checks that withdrawn keys stop working, that each key works for its own workspace only, and that
 * no target receives a key.
 *
 * <p>The workspace for which a request ran is the one in the session token of its answer. A target
 * reports every request with an Authorization header or with the text of a key.
 *
 * @since 0.1
 */
public final class KeyChecker implements Checker {
    /** The time after an accepted withdrawal from which no new request with the key may succeed. */
    public static final long WITHDRAWAL_LIMIT_MILLIS = 5_000;

    @Override
    public String name() {
        return "keys";
    }

    @Override
    public List<String> check(History history) {
        List<String> violations = new ArrayList<>();
        history.truths()
                .values()
                .forEach(
                        truth -> {
                            if (truth.violations() > 0) {
                                violations.add(
                                        truth.service()
                                                + " received a caller's key in "
                                                + truth.violations()
                                                + " requests");
                            }
                        });
        for (CallRecord record : history.calls()) {
            if (record.isSuccess()) {
                checkWorkspace(record, violations);
                checkWithdrawal(record, history, violations);
            }
        }
        return violations;
    }

    private static void checkWorkspace(CallRecord record, List<String> violations) {
        record.answer()
                .flatMap(Answer::sessionWorkspace)
                .filter(workspace -> !workspace.equals(record.call().workspace()))
                .ifPresent(
                        workspace ->
                                violations.add(
                                        record.describe() + " ran for workspace " + workspace));
    }

    private static void checkWithdrawal(
            CallRecord record, History history, List<String> violations) {
        history.events(HistoryEvent.Kind.KEY_WITHDRAWN)
                .filter(event -> event.subject().equals(record.call().keyId()))
                .map(event -> record.startNanos() - event.nanos())
                .map(TimeUnit.NANOSECONDS::toMillis)
                .filter(sinceWithdrawal -> sinceWithdrawal > WITHDRAWAL_LIMIT_MILLIS)
                .forEach(
                        sinceWithdrawal ->
                                violations.add(
                                        record.describe()
                                                + " succeeded "
                                                + sinceWithdrawal
                                                + " ms after the withdrawal of its key"));
    }
}
