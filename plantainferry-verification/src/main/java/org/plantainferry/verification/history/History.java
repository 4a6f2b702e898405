package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Holds everything that the checkers decide from.
 *
 * @param calls all calls, ordered by their start
 * @param events what the run did besides calls, ordered by time
 * @param samples polled configuration versions, ordered by time
 * @param truths the groups at the end, by service
 * @param limits rate and burst, by workspace
 * @since 0.1
 */
public record History(
        List<CallRecord> calls,
        List<HistoryEvent> events,
        List<VersionSample> samples,
        Map<String, GroupTruth> truths,
        Map<String, RateLimit> limits) {
    /** Orders and copies everything. */
    public History {
        calls = sorted(calls, Comparator.comparingLong(CallRecord::startNanos));
        events = sorted(events, Comparator.comparingLong(HistoryEvent::nanos));
        samples = sorted(samples, Comparator.comparingLong(VersionSample::sentNanos));
        truths = Map.copyOf(truths);
        limits = Map.copyOf(limits);
    }

    /** Returns the events of one kind. */
    public Stream<HistoryEvent> events(HistoryEvent.Kind kind) {
        return events.stream().filter(event -> event.kind() == kind);
    }

    /** Returns the calls grouped by a property, each group in the order of the starts. */
    public Map<String, List<CallRecord>> callsBy(Function<CallRecord, String> property) {
        Map<String, List<CallRecord>> groups = new TreeMap<>();
        calls.forEach(
                call ->
                        groups.computeIfAbsent(property.apply(call), key -> new ArrayList<>())
                                .add(call));
        return groups;
    }

    /** Returns whether an event of a kind hit a subject in a span of time, ends included. */
    public boolean hasEvent(
            HistoryEvent.Kind kind, String subject, long fromNanos, long untilNanos) {
        return events(kind)
                .anyMatch(
                        event ->
                                event.subject().equals(subject)
                                        && event.nanos() >= fromNanos
                                        && event.nanos() <= untilNanos);
    }

    /** Returns whether a state of a subject overlaps a span of time. */
    public boolean wasInState(
            HistoryEvent.Kind begin,
            HistoryEvent.Kind end,
            String subject,
            long fromNanos,
            long untilNanos) {
        boolean isIn = false;
        for (HistoryEvent event : events) {
            if (!event.subject().equals(subject)) {
                continue;
            }
            if (event.nanos() > untilNanos) {
                break;
            }
            if (event.kind() == begin) {
                isIn = true;
            } else if (event.kind() == end) {
                isIn = isIn && event.nanos() >= fromNanos;
                if (isIn) {
                    return true;
                }
            }
        }
        return isIn;
    }

    private static <T> List<T> sorted(List<T> list, Comparator<T> order) {
        return list.stream().sorted(order).toList();
    }
}
