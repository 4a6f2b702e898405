package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that each answer belongs to its request.
 *
 * <p>Every written value is unique. A read answers with a value that some client wrote to this key
 * of this service before the read ended; an APPEND answers with a text that ends with its own
 * value.
 *
 * @since 0.1
 */
public final class AnswerMatchChecker implements Checker {
    private static final String APPEND = "APPEND ";
    private static final String GET = "GET ";

    @Override
    public String name() {
        return "answer-match";
    }

    @Override
    public List<String> check(History history) {
        Map<String, Set<String>> written = new HashMap<>();
        Map<String, Long> firstStarts = new HashMap<>();
        for (CallRecord record : history.calls()) {
            if (!record.call().writtenValue().isEmpty()) {
                String key = serviceAndKey(record.call());
                written.computeIfAbsent(key, k -> new HashSet<>())
                        .add(record.call().writtenValue());
                firstStarts.putIfAbsent(record.call().writtenValue(), record.startNanos());
            }
        }
        List<String> broken = new ArrayList<>();
        for (CallRecord record : history.calls()) {
            String statement = record.call().statement();
            String result = record.answer().flatMap(Answer::result).orElse("");
            if (!record.isSuccess()) {
                continue;
            }
            boolean isStrange =
                    statement.startsWith(GET)
                            && !result.isEmpty()
                            && (!written.getOrDefault(serviceAndKey(record.call()), Set.of())
                                            .contains(result)
                                    || firstStarts.get(result) > record.endNanos());
            boolean isForeign =
                    statement.startsWith(APPEND) && !result.endsWith(record.call().writtenValue());
            if (isStrange || isForeign) {
                broken.add(record.describe() + " was answered with \"" + result + "\"");
            }
        }
        return broken;
    }

    private static String serviceAndKey(Call call) {
        return call.service() + " " + call.databaseKey();
    }
}
