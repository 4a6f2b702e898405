package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainferry.verification.standin.group.LogEntry;

/**
 * Checks that every write that a client observed is in the final log of the latest term.
 *
 * <p>An acknowledged write must be in the log at the position that its answer named, and a value
 * that was read outside transactions must be in the log. The rules that the group itself found
 * broken, such as a wrong promotion, are reported as well.
 *
 * @since 0.1
 */
public final class NoLostWriteChecker implements Checker {
    @Override
    public String name() {
        return "no-lost-write";
    }

    @Override
    public List<String> check(History history) {
        List<String> violations = new ArrayList<>();
        history.truths().values().forEach(truth -> violations.addAll(truth.mistakes()));
        Map<String, LogIndex> indexes = LogIndex.byService(history);
        for (CallRecord record : history.calls()) {
            LogIndex index = indexes.get(record.call().service());
            if (index == null || !record.isSuccess()) {
                continue;
            }
            if (record.hasOperation(Operation.WRITE)) {
                checkWrite(record, index, violations);
            } else if (record.call().operation().isPlainRead()) {
                record.answer()
                        .flatMap(Answer::result)
                        .filter(value -> index.count(value) == 0)
                        .ifPresent(
                                value ->
                                        violations.add(
                                                record.describe()
                                                        + " read a value that is not in the log: "
                                                        + value));
            }
        }
        return violations;
    }

    private static void checkWrite(CallRecord record, LogIndex index, List<String> violations) {
        long position = record.answer().orElseThrow().position();
        Set<Long> loggedPositions = new HashSet<>();
        for (LogEntry entry : index.entries(record.call().writtenValue())) {
            loggedPositions.add(entry.position());
        }
        if (!loggedPositions.contains(position)) {
            violations.add(
                    record.describe()
                            + " at "
                            + position
                            + ", but the log has it at "
                            + loggedPositions);
        }
    }
}
