package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that a session never reads a value older than its own acknowledged write.
 *
 * <p>Values are unique, so the final log tells the place of each. A read that started after the
 * acknowledgement of a write of the same session to the same key must return a value whose place is
 * not before that write, and the position of its answer must not be before any acknowledged write
 * or commit of the session.
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
        List<String> broken = new ArrayList<>();
        Map<String, LogIndex> indexes = LogIndex.byService(history);
        history.callsBy(record -> record.call().session())
                .values()
                .forEach(session -> checkSession(session, indexes, broken));
        return broken;
    }

    private static void checkSession(
            List<CallRecord> session, Map<String, LogIndex> indexes, List<String> broken) {
        Map<String, Long> written = new HashMap<>();
        for (CallRecord record : session) {
            Call call = record.call();
            LogIndex index = indexes.get(call.service());
            if (index == null || !record.isSuccess()) {
                continue;
            }
            String key = call.service() + " " + call.databaseKey();
            if (record.hasOperation(Operation.WRITE)) {
                index.position(call.writtenValue())
                        .ifPresent(position -> written.merge(key, position, Math::max));
                written.merge(call.service(), answerPosition(record), Math::max);
            } else if (record.hasOperation(Operation.COMMIT)) {
                written.merge(call.service(), answerPosition(record), Math::max);
            } else if (call.operation().isPlainRead()) {
                checkAnswerPosition(record, written.getOrDefault(call.service(), 0L), broken);
            }
            if (call.operation().isPlainRead() && written.containsKey(key)) {
                long read =
                        record.answer().flatMap(Answer::result).flatMap(index::position).orElse(0L);
                if (read < written.get(key)) {
                    broken.add(
                            record.describe()
                                    + " read position "
                                    + read
                                    + " after its write at "
                                    + written.get(key));
                }
            }
        }
    }

    private static void checkAnswerPosition(CallRecord record, long least, List<String> broken) {
        if (answerPosition(record) < least) {
            broken.add(
                    record.describe()
                            + " was served at position "
                            + answerPosition(record)
                            + " after its write or commit at "
                            + least);
        }
    }

    private static long answerPosition(CallRecord record) {
        return record.answer().orElseThrow().position();
    }
}
