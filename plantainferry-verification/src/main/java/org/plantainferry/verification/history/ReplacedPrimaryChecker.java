package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.verification.standin.group.LogEntry;

/**
 * Checks that no primary acknowledges a write after another one was promoted.
 *
 * <p>The promotion is the time at which the new primary appended the entry that begins its term;
 * group and clients read the same clock. An acknowledgement of an older term is certainly wrong
 * when its call started after that time, and when its place in the log is at or after the entry
 * that begins the new term. When the call started before and ended later, only the moment at which
 * the instance passed the answer on would decide, which the client cannot see; the end may then be
 * later than the promotion by the time that the answer needs from instance to client, for which
 * {@link #DELIVERY_TOLERANCE_MILLIS} is granted.
 *
 * @since 0.1
 */
public final class ReplacedPrimaryChecker implements Checker {
    /** The time from the instance's decision until the client has read the answer. */
    public static final long DELIVERY_TOLERANCE_MILLIS = 250;

    private static final String TERM_STATEMENT_PREFIX = "TERM ";

    private record Promotion(long term, long position, long nanos) {}

    @Override
    public String name() {
        return "replaced-primary";
    }

    @Override
    public List<String> check(History history) {
        List<String> broken = new ArrayList<>();
        Map<String, List<Promotion>> promotions = new HashMap<>();
        history.truths().forEach((service, truth) -> promotions.put(service, promotions(truth)));
        for (CallRecord record : history.calls()) {
            boolean isWrite =
                    record.hasOperation(Operation.WRITE) || record.hasOperation(Operation.COMMIT);
            if (isWrite && record.isSuccess()) {
                promotions
                        .getOrDefault(record.call().service(), List.of())
                        .forEach(promotion -> check(record, promotion).ifPresent(broken::add));
            }
        }
        return broken;
    }

    private static List<Promotion> promotions(GroupTruth truth) {
        List<Promotion> promotions = new ArrayList<>();
        for (LogEntry entry : truth.entries()) {
            if (entry.statement().startsWith(TERM_STATEMENT_PREFIX)) {
                promotions.add(
                        new Promotion(entry.term(), entry.position(), entry.appendedNanos()));
            }
        }
        return promotions;
    }

    private static Optional<String> check(CallRecord record, Promotion promotion) {
        Answer answer = record.answer().orElseThrow();
        if (answer.term() >= promotion.term()) {
            return Optional.empty();
        }
        String place = " of term " + answer.term() + " against term " + promotion.term();
        if (record.startNanos() > promotion.nanos()) {
            return Optional.of(record.describe() + place + " started after the promotion");
        }
        if (answer.position() >= promotion.position()) {
            return Optional.of(record.describe() + place + " is not before the promotion");
        }
        long late = TimeUnit.NANOSECONDS.toMillis(record.endNanos() - promotion.nanos());
        if (late > DELIVERY_TOLERANCE_MILLIS) {
            return Optional.of(record.describe() + place + " ended " + late + " ms after it");
        }
        return Optional.empty();
    }
}
