package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks that refusals are complete and arrive in time.
 *
 * <p>A refusal carries a verdict, a code and the name of the instance; a refusal that the caller
 * should retry also carries the delay before the retry. It arrives within the deadline plus {@link
 * #DEADLINE_MARGIN_MILLIS}. A call without an answer that exceeds this time is a violation too,
 * unless its instance was frozen or killed meanwhile. Whether a request waited needlessly before
 * its refusal cannot be decided from the history, because a client does not see what the instance
 * could have known.
 *
 * @since 0.1
 */
public final class RefusalChecker implements Checker {
    /** The time after the deadline within which the answer must reach the client. */
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
        List<String> violations = new ArrayList<>();
        for (CallRecord record : history.calls()) {
            if (!record.isSuccess()) {
                checkFields(record, violations);
                checkDuration(record, history, violations);
            }
        }
        return violations;
    }

    private static void checkFields(CallRecord record, List<String> violations) {
        if (record.answer().isEmpty()) {
            return;
        }
        Answer answer = record.answer().get();
        if (answer.verdict().isEmpty() || answer.code().isEmpty()) {
            violations.add(record.describe() + " has no verdict or no code");
        }
        if (answer.answeredBy().isEmpty()) {
            violations.add(record.describe() + " does not name the instance");
        }
        if (RETRYABLE_CODES.contains(answer.code()) && answer.retryAfterMillis() <= 0) {
            violations.add(record.describe() + " has no delay before the retry");
        }
    }

    private static void checkDuration(CallRecord record, History history, List<String> violations) {
        String instance = record.call().instance();
        boolean isLate =
                record.durationMillis() > record.call().deadlineMillis() + DEADLINE_MARGIN_MILLIS
                        || record.outcome() == Outcome.TIMEOUT;
        boolean isDisrupted =
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
        if (isLate && !isDisrupted) {
            violations.add(
                    record.describe()
                            + " took "
                            + record.durationMillis()
                            + " ms with a deadline of "
                            + record.call().deadlineMillis()
                            + " ms");
        }
    }
}
