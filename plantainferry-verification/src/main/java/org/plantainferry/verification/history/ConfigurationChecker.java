package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks that versions never go back and reach every instance in time.
 *
 * <p>Versions are compared within one start of an instance. The time counts from the acceptance of
 * the version, the start of the instance, or the end of a cut, freeze or outage of the store,
 * whichever is last; an instance that is cut off cannot learn of a version.
 *
 * @since 0.1
 */
public final class ConfigurationChecker implements Checker {
    /** The time in which an accepted version is in force. */
    public static final long PROPAGATION_LIMIT_MILLIS = 11_000;

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public List<String> check(History history) {
        List<String> broken = new ArrayList<>();
        Map<String, Long> newest = new HashMap<>();
        for (VersionSample sample : history.samples()) {
            String key = sample.instance() + " start " + sample.incarnation();
            long before = newest.getOrDefault(key, 0L);
            if (sample.version() < before) {
                broken.add(key + " went back from " + before + " to " + sample.version());
            }
            newest.merge(key, sample.version(), Math::max);
            checkPropagation(sample, history, broken);
        }
        return broken;
    }

    private static void checkPropagation(
            VersionSample sample, History history, List<String> broken) {
        long latest = sample.sentNanos() - TimeUnit.MILLISECONDS.toNanos(PROPAGATION_LIMIT_MILLIS);
        long expected =
                history.events(HistoryEvent.Kind.VERSION_ACCEPTED)
                        .filter(event -> event.nanos() < latest)
                        .mapToLong(HistoryEvent::number)
                        .max()
                        .orElse(0);
        if (sample.version() < expected && !isDisrupted(sample, latest, history)) {
            broken.add(
                    sample.instance()
                            + " still had version "
                            + sample.version()
                            + " more than "
                            + PROPAGATION_LIMIT_MILLIS
                            + " ms after version "
                            + expected);
        }
    }

    private static boolean isDisrupted(VersionSample sample, long from, History history) {
        String instance = sample.instance();
        long until = sample.receivedNanos();
        return history.hasEvent(HistoryEvent.Kind.INSTANCE_STARTED, instance, from, until)
                || history.wasInState(
                        HistoryEvent.Kind.INSTANCE_CUT,
                        HistoryEvent.Kind.INSTANCE_HEALED,
                        instance,
                        from,
                        until)
                || history.wasInState(
                        HistoryEvent.Kind.INSTANCE_FROZEN,
                        HistoryEvent.Kind.INSTANCE_THAWED,
                        instance,
                        from,
                        until)
                || history.wasInState(
                        HistoryEvent.Kind.STORE_OUT,
                        HistoryEvent.Kind.STORE_BACK,
                        "store",
                        from,
                        until);
    }
}
