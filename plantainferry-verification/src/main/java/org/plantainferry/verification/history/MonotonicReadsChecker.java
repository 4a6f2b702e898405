package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that the reads of a session never go back in the log.
 *
 * <p>The values of one key must not go back, and the position of an answer must not be below the
 * position in the session token that the request carried.
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
        List<String> broken = new ArrayList<>();
        Map<String, LogIndex> indexes = LogIndex.byService(history);
        history.callsBy(record -> record.call().session())
                .values()
                .forEach(session -> checkSession(session, indexes, broken));
        return broken;
    }

    private static void checkSession(
            List<CallRecord> session, Map<String, LogIndex> indexes, List<String> broken) {
        Map<String, Long> seen = new HashMap<>();
        for (CallRecord record : session) {
            Call call = record.call();
            LogIndex index = indexes.get(call.service());
            if (index == null || !call.operation().isPlainRead() || !record.isSuccess()) {
                continue;
            }
            Answer answer = record.answer().orElseThrow();
            long demanded = call.sessionIn().map(place -> place.position()).orElse(0L);
            if (answer.position() < demanded) {
                broken.add(record.describe() + " at " + answer.position() + " below " + demanded);
            }
            String key = call.service() + " " + call.databaseKey();
            Optional<Long> read = answer.result().flatMap(index::position);
            if (answer.result().isPresent() && read.isEmpty()) {
                continue;
            }
            long position = read.orElse(0L);
            long before = seen.getOrDefault(key, 0L);
            if (position < before) {
                broken.add(record.describe() + " read " + position + " after " + before);
            }
            seen.merge(key, position, Math::max);
        }
    }
}
