package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks how often each write outside transactions is in the final log.
 *
 * <p>Each written value is unique. It must be in the log at most once, exactly once when a call
 * that writes it was acknowledged, and never when all such calls were refused as not run. Retries
 * of a write carry the same value and the same idempotency key.
 *
 * @since 0.1
 */
public final class AtMostOnceChecker implements Checker {
    @Override
    public String name() {
        return "at-most-once";
    }

    @Override
    public List<String> check(History history) {
        List<String> violations = new ArrayList<>();
        Map<String, LogIndex> indexes = LogIndex.byService(history);
        history.callsBy(
                        record ->
                                record.hasOperation(Operation.WRITE)
                                        ? record.call().service()
                                                + " "
                                                + record.call().writtenValue()
                                        : "")
                .forEach(
                        (value, calls) -> {
                            if (!value.isEmpty()) {
                                checkRunCount(calls, indexes, violations);
                            }
                        });
        return violations;
    }

    private static void checkRunCount(
            List<CallRecord> calls, Map<String, LogIndex> indexes, List<String> violations) {
        CallRecord lastCall = calls.get(calls.size() - 1);
        LogIndex index = indexes.get(lastCall.call().service());
        if (index == null) {
            return;
        }
        int runCount = index.count(lastCall.call().writtenValue());
        boolean isAcknowledged = calls.stream().anyMatch(CallRecord::isSuccess);
        boolean isNotRun = calls.stream().allMatch(CallRecord::isNotRun);
        if (runCount > 1) {
            violations.add(lastCall.describe() + " ran " + runCount + " times");
        } else if (isAcknowledged && runCount == 0) {
            violations.add(lastCall.describe() + " was acknowledged but is not in the log");
        } else if (isNotRun && runCount > 0) {
            violations.add(lastCall.describe() + " is in the log but was answered as not run");
        }
    }
}
