package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks that no workspace spends more than its rate and burst in any window.
 *
 * <p>A granted request took its token at some moment between its start and its end, so it counts in
 * a window only when both lie in it. What is reported is therefore certain; an overspend that hides
 * in the uncertainty is not. Counted are requests that ran or may have run and that are charged.
 *
 * @since 0.1
 */
public final class RateChecker implements Checker {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    // Rates are fractions; this absorbs their rounding.
    private static final double ROUNDING_TOLERANCE = 1e-6;

    @Override
    public String name() {
        return "rate";
    }

    @Override
    public List<String> check(History history) {
        List<String> broken = new ArrayList<>();
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
                                broken.add(workspace + " overspent by " + excess);
                            }
                        });
        return broken;
    }

    private static boolean isGranted(CallRecord record) {
        return record.call().operation().isCharged()
                && record.answer().map(answer -> !answer.isNotRun()).orElse(false);
    }

    /** Returns the largest provable number of requests above the limit in any window. */
    static double provableExcess(List<CallRecord> granted, RateLimit limit) {
        List<CallRecord> byEnd =
                granted.stream().sorted(Comparator.comparingLong(CallRecord::endNanos)).toList();
        double most = 0;
        for (CallRecord first : granted) {
            long from = first.startNanos();
            int count = 0;
            for (CallRecord record : byEnd) {
                if (record.startNanos() < from) {
                    continue;
                }
                count++;
                double seconds = (record.endNanos() - from) / NANOS_PER_SECOND;
                most = Math.max(most, count - limit.ratePerSecond() * seconds - limit.burst());
            }
        }
        return most;
    }
}
