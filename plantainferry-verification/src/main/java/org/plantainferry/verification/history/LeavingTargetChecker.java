package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Checks that a leaving target receives no new work after {@link #NEW_WORK_LIMIT_MILLIS}.
 *
 * <p>The target's own record of new work, which it refuses while it is leaving, is independent of
 * the instances. Calls that the target served outside transactions after that time are violations
 * too.
 *
 * @since 0.1
 */
public final class LeavingTargetChecker implements Checker {
    /** The time after which a leaving target must receive no new work. */
    public static final long NEW_WORK_LIMIT_MILLIS = 3_000;

    @Override
    public String name() {
        return "leaving-target";
    }

    @Override
    public List<String> check(History history) {
        List<String> violations = new ArrayList<>();
        history.truths()
                .values()
                .forEach(
                        truth ->
                                truth.leavingWork().stream()
                                        .filter(
                                                work ->
                                                        work.lastAfterMillis()
                                                                > NEW_WORK_LIMIT_MILLIS)
                                        .forEach(
                                                work ->
                                                        violations.add(
                                                                work.server()
                                                                        + " received new work "
                                                                        + work.lastAfterMillis()
                                                                        + " ms after it began to"
                                                                        + " leave")));
        history.events(HistoryEvent.Kind.SERVER_LEAVING)
                .forEach(event -> checkServedCalls(event, history, violations));
        return violations;
    }

    private static void checkServedCalls(
            HistoryEvent leaving, History history, List<String> violations) {
        long limitNanos = leaving.nanos() + TimeUnit.MILLISECONDS.toNanos(NEW_WORK_LIMIT_MILLIS);
        history.calls().stream()
                .filter(record -> record.startNanos() > limitNanos)
                .filter(record -> !record.call().operation().isInsideTransaction())
                .filter(CallRecord::isSuccess)
                .filter(record -> record.answer().orElseThrow().server().equals(leaving.subject()))
                .forEach(
                        record ->
                                violations.add(
                                        record.describe() + " was served by a leaving server"));
    }
}
