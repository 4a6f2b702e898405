package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks the form and the time of refusals.
 *
 * <p>A refusal has a verdict, a code and the instance; a refusal after which the caller should come
 * back names the time; and it arrives within the deadline and {@link #DEADLINE_MARGIN_MILLIS}. An
 * answer never missing, except from an instance that was frozen or killed, is checked too. Whether
 * a request waited needlessly before its refusal is not decidable from the history, because a
 * client does not see what the instance could have known.
 *
 * @since 0.1
 */
public final class RefusalChecker implements Checker {
    /** The time after the deadline in which the answer reaches the client. */
    public static final long DEADLINE_MARGIN_MILLIS = 200;

    private static final Set<String> RETRYABLE_CODES =
            Set.of(
                    "RATE_EXCEEDED",
                    "OVERLOADED",
                    "TARGET_UNAVAILABLE",
                    "CONFIGURATION_STALE",
                    "DRAINING");

    @Override
    public String name() {
        return "refusals";
    }

    @Override
    public List<String> check(History history) {
        List<String> broken = new ArrayList<>();
        for (CallRecord record : history.calls()) {
            if (!record.isSuccess()) {
                checkFields(record, broken);
                checkDuration(record, history, broken);
            }
        }
        return broken;
    }

    private static void checkFields(CallRecord record, List<String> broken) {
        if (record.answer().isEmpty()) {
            return;
        }
        Answer answer = record.answer().get();
        if (answer.verdict().isEmpty() || answer.code().isEmpty()) {
            broken.add(record.describe() + " has no verdict or no code");
        }
        if (answer.answeredBy().isEmpty()) {
            broken.add(record.describe() + " does not name the instance");
        }
        if (RETRYABLE_CODES.contains(answer.code()) && answer.retryAfterMillis() <= 0) {
            broken.add(record.describe() + " names no time at which to come back");
        }
    }

    private static void checkDuration(CallRecord record, History history, List<String> broken) {
        String instance = record.call().instance();
        boolean isLate =
                record.durationMillis() > record.call().deadlineMillis() + DEADLINE_MARGIN_MILLIS
                        || record.outcome() == Outcome.TIMEOUT;
        boolean isDisturbed =
                history.wasInState(
                                HistoryEvent.Kind.INSTANCE_FROZEN,
                                HistoryEvent.Kind.INSTANCE_THAWED,
                                instance,
                                record.startNanos(),
                                record.endNanos())
                        || history.wasInState(
                                HistoryEvent.Kind.INSTANCE_KILLED,
                                HistoryEvent.Kind.INSTANCE_STARTED,
                                instance,
                                record.startNanos(),
                                record.endNanos());
        if (isLate && !isDisturbed) {
            broken.add(
                    record.describe()
                            + " took "
                            + record.durationMillis()
                            + " ms with a deadline of "
                            + record.call().deadlineMillis()
                            + " ms");
        }
    }
}
