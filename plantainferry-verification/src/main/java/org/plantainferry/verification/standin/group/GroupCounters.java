package org.plantainferry.verification.standin.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Counts the requests that the servers of a group served and the violations they refused. */
final class GroupCounters {
    /** Holds the number of statements that a server answered with status 200 in one role. */
    record ServedCount(String server, String kind, String role, long count) {}

    /** Holds the count and the time of new work that reached a server while it was leaving. */
    record LeavingServerWork(String server, long newWork, long lastNewWorkAfterMillis) {}

    /** Describes a request that must never be sent, such as one with an Authorization header. */
    record Violation(String server, String path, String reason) {}

    private static final class LeavingServerCounters {
        private long mSinceNanos;
        private long mNewWork;
        private long mLastAfterMillis;
    }

    private final Map<String, Map<String, Map<String, Long>>> mServed = new TreeMap<>();
    private final Map<String, LeavingServerCounters> mLeaving = new TreeMap<>();
    private final List<Violation> mViolations = new ArrayList<>();

    synchronized void served(String server, String kind, String role) {
        mServed.computeIfAbsent(server, s -> new TreeMap<>())
                .computeIfAbsent(kind, k -> new TreeMap<>())
                .merge(role, 1L, Long::sum);
    }

    synchronized List<ServedCount> served() {
        List<ServedCount> counts = new ArrayList<>();
        mServed.forEach(
                (server, kinds) ->
                        kinds.forEach(
                                (kind, roles) ->
                                        roles.forEach(
                                                (role, count) ->
                                                        counts.add(
                                                                new ServedCount(
                                                                        server, kind, role,
                                                                        count)))));
        return counts;
    }

    synchronized void setLeaving(String server, boolean leaving, long nowNanos) {
        if (leaving) {
            mLeaving.computeIfAbsent(server, s -> new LeavingServerCounters()).mSinceNanos =
                    nowNanos;
        }
    }

    synchronized void countNewWorkWhileLeaving(String server, long nowNanos) {
        Optional.ofNullable(mLeaving.get(server))
                .ifPresent(
                        state -> {
                            state.mNewWork++;
                            state.mLastAfterMillis =
                                    TimeUnit.NANOSECONDS.toMillis(nowNanos - state.mSinceNanos);
                        });
    }

    synchronized List<LeavingServerWork> leaving() {
        List<LeavingServerWork> work = new ArrayList<>();
        mLeaving.forEach(
                (server, s) ->
                        work.add(new LeavingServerWork(server, s.mNewWork, s.mLastAfterMillis)));
        return work;
    }

    synchronized void addViolation(Violation violation) {
        mViolations.add(violation);
    }

    synchronized List<Violation> violations() {
        return List.copyOf(mViolations);
    }
}
