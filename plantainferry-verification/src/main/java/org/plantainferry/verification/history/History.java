package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Holds everything that the checkers need to know about a run.
 *
 * @param calls all calls, ordered by their start
 * @param events the faults, changes and restarts of the run, ordered by time
 * @param samples polled configuration versions, ordered by time
 * @param truths the state of the database groups at the end of the run, by service
 * @param limits rate and burst, by workspace
 * @since 0.1
 */
public record History(
        List<CallRecord> calls,
        List<HistoryEvent> events,
        List<VersionSample> samples,
        Map<String, GroupTruth> truths,
        Map<String, RateLimit> limits) {
    /** Copies the collections and sorts the lists. */
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

    /** Returns the calls grouped by a property, each group ordered by start. */
    public Map<String, List<CallRecord>> callsBy(Function<CallRecord, String> property) {
        Map<String, List<CallRecord>> groups = new TreeMap<>();
        calls.forEach(
                call ->
                        groups.computeIfAbsent(property.apply(call), key -> new ArrayList<>())
                                .add(call));
        return groups;
    }

    /** Returns whether a subject had an event of a kind in a time span, bounds included. */
    public boolean hasEvent(
            HistoryEvent.Kind kind, String subject, long fromNanos, long untilNanos) {
        return events(kind)
                .anyMatch(
                        event ->
                                event.subject().equals(subject)
                                        && event.nanos() >= fromNanos
                                        && event.nanos() <= untilNanos);
    }

    /**
     * Returns whether a subject was in a state at any moment of a time span.
     *
     * @param begin the kind of event that begins the state
     * @param end the kind of event that ends the state
     */
    public boolean wasInState(
            HistoryEvent.Kind begin,
            HistoryEvent.Kind end,
            String subject,
            long fromNanos,
            long untilNanos) {
        boolean isInState = false;
        for (HistoryEvent event : events) {
            if (!event.subject().equals(subject)) {
                continue;
            }
            if (event.nanos() > untilNanos) {
                break;
            }
            if (event.kind() == begin) {
                isInState = true;
            } else if (event.kind() == end) {
                isInState = isInState && event.nanos() >= fromNanos;
                if (isInState) {
                    return true;
                }
            }
        }
        return isInState;
    }

    private static <T> List<T> sorted(List<T> list, Comparator<T> order) {
        return list.stream().sorted(order).toList();
    }
}
