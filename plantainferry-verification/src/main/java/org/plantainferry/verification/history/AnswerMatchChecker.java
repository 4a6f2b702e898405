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
 * <p>Every written value is unique. A read must return a value that some client began to write to
 * the same key of the same service before the read ended; an APPEND must return a text that ends
 * with the appended value.
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
        Map<String, Set<String>> valuesByKey = new HashMap<>();
        Map<String, Long> firstStarts = new HashMap<>();
        for (CallRecord record : history.calls()) {
            if (!record.call().writtenValue().isEmpty()) {
                String serviceAndKey = serviceAndKey(record.call());
                valuesByKey
                        .computeIfAbsent(serviceAndKey, k -> new HashSet<>())
                        .add(record.call().writtenValue());
                firstStarts.putIfAbsent(record.call().writtenValue(), record.startNanos());
            }
        }
        List<String> violations = new ArrayList<>();
        for (CallRecord record : history.calls()) {
            String statement = record.call().statement();
            String result = record.answer().flatMap(Answer::result).orElse("");
            if (!record.isSuccess()) {
                continue;
            }
            boolean isUnknownValue =
                    statement.startsWith(GET)
                            && !result.isEmpty()
                            && (!valuesByKey
                                            .getOrDefault(serviceAndKey(record.call()), Set.of())
                                            .contains(result)
                                    || firstStarts.get(result) > record.endNanos());
            boolean isWrongAppendResult =
                    statement.startsWith(APPEND) && !result.endsWith(record.call().writtenValue());
            if (isUnknownValue || isWrongAppendResult) {
                violations.add(record.describe() + " was answered with \"" + result + "\"");
            }
        }
        return violations;
    }

    private static String serviceAndKey(Call call) {
        return call.service() + " " + call.databaseKey();
    }
}
