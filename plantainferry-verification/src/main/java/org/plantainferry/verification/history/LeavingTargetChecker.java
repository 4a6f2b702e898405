package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Checks that a leaving target gets no new work after a few seconds.
 *
 * <p>The target's own count of refused new work is the outside truth; calls that it served outside
 * transactions after that time are reported as well.
 *
 * @since 0.1
 */
public final class LeavingTargetChecker implements Checker {
    /** The time after which a leaving target gets no new work. */
    public static final long NEW_WORK_LIMIT_MILLIS = 3_000;

    @Override
    public String name() {
        return "leaving-target";
    }

    @Override
    public List<String> check(History history) {
        List<String> broken = new ArrayList<>();
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
                                                        broken.add(
                                                                work.server()
                                                                        + " got new work "
                                                                        + work.lastAfterMillis()
                                                                        + " ms after it began to"
                                                                        + " leave")));
        history.events(HistoryEvent.Kind.SERVER_LEAVING)
                .forEach(event -> checkServedCalls(event, history, broken));
        return broken;
    }

    private static void checkServedCalls(
            HistoryEvent leaving, History history, List<String> broken) {
        long limit = leaving.nanos() + TimeUnit.MILLISECONDS.toNanos(NEW_WORK_LIMIT_MILLIS);
        history.calls().stream()
                .filter(record -> record.startNanos() > limit)
                .filter(record -> !record.call().operation().isInsideTransaction())
                .filter(CallRecord::isSuccess)
                .filter(record -> record.answer().orElseThrow().server().equals(leaving.subject()))
                .forEach(record -> broken.add(record.describe() + " at a leaving server"));
    }
}
