package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks how often each single write is in the final log.
 *
 * <p>A unique value is there at most once; exactly once when a call with it was acknowledged; never
 * when all calls with it were refused as not run. Calls that repeat a value do so with the same
 * idempotency key.
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
        List<String> broken = new ArrayList<>();
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
                                checkRunCount(calls, indexes, broken);
                            }
                        });
        return broken;
    }

    private static void checkRunCount(
            List<CallRecord> calls, Map<String, LogIndex> indexes, List<String> broken) {
        CallRecord last = calls.get(calls.size() - 1);
        LogIndex index = indexes.get(last.call().service());
        if (index == null) {
            return;
        }
        int count = index.count(last.call().writtenValue());
        boolean isAcknowledged = calls.stream().anyMatch(CallRecord::isSuccess);
        boolean isNotRun = calls.stream().allMatch(CallRecord::isNotRun);
        if (count > 1) {
            broken.add(last.describe() + " ran " + count + " times");
        } else if (isAcknowledged && count == 0) {
            broken.add(last.describe() + " was acknowledged but is not in the log");
        } else if (isNotRun && count > 0) {
            broken.add(last.describe() + " is in the log but was answered as not run");
        }
    }
}
