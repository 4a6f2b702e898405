package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks that no workspace exceeds its rate and burst in any time window.
 *
 * <p>A granted request takes its token at some moment between its start and its end, so it counts
 * towards a window only when both lie in the window. Each reported excess is therefore certain,
 * while an excess within this uncertainty is not detected. Only charged requests whose answer says
 * that they ran or may have run count.
 *
 * @since 0.1
 */
public final class RateChecker implements Checker {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    // Rates are floating-point numbers, whose rounding errors are not an excess.
    private static final double ROUNDING_TOLERANCE = 1e-6;

    @Override
    public String name() {
        return "rate";
    }

    @Override
    public List<String> check(History history) {
        List<String> violations = new ArrayList<>();
        Map<String, List<CallRecord>> byWorkspace =
                history.callsBy(record -> record.call().workspace());
        history.limits()
                .forEach(
                        (workspace, limit) -> {
                            List<CallRecord> granted =
                                    byWorkspace.getOrDefault(workspace, List.of()).stream()
                                            .filter(RateChecker::isGranted)
                                            .toList();
                            double excess = provableExcess(granted, limit);
                            if (excess > ROUNDING_TOLERANCE) {
                                violations.add(workspace + " exceeded its rate limit by " + excess);
                            }
                        });
        return violations;
    }

    private static boolean isGranted(CallRecord record) {
        return record.call().operation().isCharged()
                && record.answer().map(answer -> !answer.isNotRun()).orElse(false);
    }

    /** Returns the largest number of requests by which any window provably exceeds the limit. */
    static double provableExcess(List<CallRecord> granted, RateLimit limit) {
        List<CallRecord> byEnd =
                granted.stream().sorted(Comparator.comparingLong(CallRecord::endNanos)).toList();
        double largestExcess = 0;
        for (CallRecord first : granted) {
            long fromNanos = first.startNanos();
            int count = 0;
            for (CallRecord record : byEnd) {
                if (record.startNanos() < fromNanos) {
                    continue;
                }
                count++;
                double seconds = (record.endNanos() - fromNanos) / NANOS_PER_SECOND;
                largestExcess =
                        Math.max(
                                largestExcess,
                                count - limit.ratePerSecond() * seconds - limit.burst());
            }
        }
        return largestExcess;
    }
}
