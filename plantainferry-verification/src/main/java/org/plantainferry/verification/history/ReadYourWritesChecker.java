package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that a session never reads a value older than its own acknowledged writes.
 *
 * <p>Values are unique, so the final log gives the position of each. A read that starts after the
 * acknowledgement of a write of the same session to the same key must return a value whose position
 * is not below that of the write, and the position of its answer must not be below that of any
 * acknowledged write or commit of the session.
 *
 * @since 0.1
 */
public final class ReadYourWritesChecker implements Checker {
    @Override
    public String name() {
        return "read-your-writes";
    }

    @Override
    public List<String> check(History history) {
        List<String> violations = new ArrayList<>();
        Map<String, LogIndex> indexes = LogIndex.byService(history);
        history.callsBy(record -> record.call().session())
                .values()
                .forEach(session -> checkSession(session, indexes, violations));
        return violations;
    }

    private static void checkSession(
            List<CallRecord> session, Map<String, LogIndex> indexes, List<String> violations) {
        Map<String, Long> writtenPositions = new HashMap<>();
        for (CallRecord record : session) {
            Call call = record.call();
            LogIndex index = indexes.get(call.service());
            if (index == null || !record.isSuccess()) {
                continue;
            }
            String key = call.service() + " " + call.databaseKey();
            if (record.hasOperation(Operation.WRITE)) {
                index.position(call.writtenValue())
                        .ifPresent(position -> writtenPositions.merge(key, position, Math::max));
                writtenPositions.merge(call.service(), answerPosition(record), Math::max);
            } else if (record.hasOperation(Operation.COMMIT)) {
                writtenPositions.merge(call.service(), answerPosition(record), Math::max);
            } else if (call.operation().isPlainRead()) {
                checkAnswerPosition(
                        record, writtenPositions.getOrDefault(call.service(), 0L), violations);
            }
            if (call.operation().isPlainRead() && writtenPositions.containsKey(key)) {
                long readPosition =
                        record.answer().flatMap(Answer::result).flatMap(index::position).orElse(0L);
                if (readPosition < writtenPositions.get(key)) {
                    violations.add(
                            record.describe()
                                    + " read position "
                                    + readPosition
                                    + " after its write at "
                                    + writtenPositions.get(key));
                }
            }
        }
    }

    private static void checkAnswerPosition(
            CallRecord record, long requiredPosition, List<String> violations) {
        if (answerPosition(record) < requiredPosition) {
            violations.add(
                    record.describe()
                            + " was served at position "
                            + answerPosition(record)
                            + " after its write or commit at "
                            + requiredPosition);
        }
    }

    private static long answerPosition(CallRecord record) {
        return record.answer().orElseThrow().position();
    }
}
