package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that the reads of a session never return an older state than earlier reads.
 *
 * <p>The log positions of the values read for one key must not decrease, and the position of an
 * answer must not be below the position in the session token that the request carried.
 *
 * @since 0.1
 */
public final class MonotonicReadsChecker implements Checker {
    @Override
    public String name() {
        return "monotonic-reads";
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
        Map<String, Long> newestPositions = new HashMap<>();
        for (CallRecord record : session) {
            Call call = record.call();
            LogIndex index = indexes.get(call.service());
            if (index == null || !call.operation().isPlainRead() || !record.isSuccess()) {
                continue;
            }
            Answer answer = record.answer().orElseThrow();
            long requiredPosition = call.sessionIn().map(token -> token.position()).orElse(0L);
            if (answer.position() < requiredPosition) {
                violations.add(
                        record.describe()
                                + " at "
                                + answer.position()
                                + " below "
                                + requiredPosition);
            }
            String key = call.service() + " " + call.databaseKey();
            Optional<Long> readPosition = answer.result().flatMap(index::position);
            if (answer.result().isPresent() && readPosition.isEmpty()) {
                continue;
            }
            long position = readPosition.orElse(0L);
            long previousPosition = newestPositions.getOrDefault(key, 0L);
            if (position < previousPosition) {
                violations.add(
                        record.describe() + " read " + position + " after " + previousPosition);
            }
            newestPositions.merge(key, position, Math::max);
        }
    }
}
