package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks that configuration versions never decrease and reach every instance in time.
 *
 * <p>Versions are compared within one incarnation of an instance. The time limit starts at the
 * acceptance of the version, the start of the instance, or the end of a cut, freeze or store
 * outage, whichever is last, because an instance that is cut off cannot learn of a version.
 *
 * @since 0.1
 */
public final class ConfigurationChecker implements Checker {
    /** The time within which an accepted version must be in force on every instance. */
    public static final long PROPAGATION_LIMIT_MILLIS = 11_000;

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public List<String> check(History history) {
        List<String> violations = new ArrayList<>();
        Map<String, Long> newestVersions = new HashMap<>();
        for (VersionSample sample : history.samples()) {
            String incarnation = sample.instance() + " start " + sample.incarnation();
            long previousVersion = newestVersions.getOrDefault(incarnation, 0L);
            if (sample.version() < previousVersion) {
                violations.add(
                        incarnation
                                + " decreased from "
                                + previousVersion
                                + " to "
                                + sample.version());
            }
            newestVersions.merge(incarnation, sample.version(), Math::max);
            checkPropagation(sample, history, violations);
        }
        return violations;
    }

    private static void checkPropagation(
            VersionSample sample, History history, List<String> violations) {
        long acceptedBeforeNanos =
                sample.sentNanos() - TimeUnit.MILLISECONDS.toNanos(PROPAGATION_LIMIT_MILLIS);
        long expectedVersion =
                history.events(HistoryEvent.Kind.VERSION_ACCEPTED)
                        .filter(event -> event.nanos() < acceptedBeforeNanos)
                        .mapToLong(HistoryEvent::number)
                        .max()
                        .orElse(0);
        if (sample.version() < expectedVersion
                && !isDisrupted(sample, acceptedBeforeNanos, history)) {
            violations.add(
                    sample.instance()
                            + " still had version "
                            + sample.version()
                            + " more than "
                            + PROPAGATION_LIMIT_MILLIS
                            + " ms after version "
                            + expectedVersion);
        }
    }

    private static boolean isDisrupted(VersionSample sample, long fromNanos, History history) {
        String instance = sample.instance();
        long untilNanos = sample.receivedNanos();
        return history.hasEvent(HistoryEvent.Kind.INSTANCE_STARTED, instance, fromNanos, untilNanos)
                || history.wasInState(
                        HistoryEvent.Kind.INSTANCE_CUT,
                        HistoryEvent.Kind.INSTANCE_HEALED,
                        instance,
                        fromNanos,
                        untilNanos)
                || history.wasInState(
                        HistoryEvent.Kind.INSTANCE_FROZEN,
                        HistoryEvent.Kind.INSTANCE_THAWED,
                        instance,
                        fromNanos,
                        untilNanos)
                || history.wasInState(
                        HistoryEvent.Kind.STORE_OUT,
                        HistoryEvent.Kind.STORE_BACK,
                        "store",
                        fromNanos,
                        untilNanos);
    }
}
