package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.verification.standin.group.LogEntry;

/** Finds the log entries of unique values. */
final class LogIndex {
    private final Map<String, List<LogEntry>> mEntriesByValue = new HashMap<>();

    LogIndex(GroupTruth truth) {
        for (LogEntry entry : truth.entries()) {
            for (String statement : entry.statements()) {
                mEntriesByValue
                        .computeIfAbsent(Call.writtenValueOf(statement), key -> new ArrayList<>())
                        .add(entry);
            }
        }
    }

    static Map<String, LogIndex> byService(History history) {
        Map<String, LogIndex> indexes = new HashMap<>();
        history.truths().forEach((service, truth) -> indexes.put(service, new LogIndex(truth)));
        return indexes;
    }

    int count(String value) {
        return entries(value).size();
    }

    List<LogEntry> entries(String value) {
        return mEntriesByValue.getOrDefault(value, List.of());
    }

    /** Returns the place of a value in the log; empty when it is not there. */
    Optional<Long> position(String value) {
        return entries(value).stream().findFirst().map(LogEntry::position);
    }
}
