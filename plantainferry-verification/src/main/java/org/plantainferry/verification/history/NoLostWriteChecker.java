package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainferry.verification.standin.group.LogEntry;

/**
 * Checks that nothing that a client saw is missing in the final log of the latest term.
 *
 * <p>An acknowledged write must be there at the position that its answer named, and a value that
 * was read outside transactions must be there. The rules of the group itself count too.
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
        List<String> broken = new ArrayList<>();
        history.truths().values().forEach(truth -> broken.addAll(truth.mistakes()));
        Map<String, LogIndex> indexes = LogIndex.byService(history);
        for (CallRecord record : history.calls()) {
            LogIndex index = indexes.get(record.call().service());
            if (index == null || !record.isSuccess()) {
                continue;
            }
            if (record.hasOperation(Operation.WRITE)) {
                checkWrite(record, index, broken);
            } else if (record.call().operation().isPlainRead()) {
                record.answer()
                        .flatMap(Answer::result)
                        .filter(value -> index.count(value) == 0)
                        .ifPresent(
                                value ->
                                        broken.add(
                                                record.describe() + " read lost value " + value));
            }
        }
        return broken;
    }

    private static void checkWrite(CallRecord record, LogIndex index, List<String> broken) {
        long position = record.answer().orElseThrow().position();
        Set<Long> places = new HashSet<>();
        for (LogEntry entry : index.entries(record.call().writtenValue())) {
            places.add(entry.position());
        }
        if (!places.contains(position)) {
            broken.add(record.describe() + " at " + position + ", but the log has it at " + places);
        }
    }
}
