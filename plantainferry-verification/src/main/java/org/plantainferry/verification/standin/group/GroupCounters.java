package org.plantainferry.verification.standin.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Counts what the servers of a group served and what they had to refuse. */
final class GroupCounters {
    /** Shows how many statements a server answered with 200 in one role. */
    record ServedCount(String server, String kind, String role, long count) {}

    /** Shows the new work that reached a server while it was leaving. */
    record LeavingServerWork(String server, long newWork, long lastNewWorkAfterMillis) {}

    /** Describes a request that should never have been sent. */
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
        List<ServedCount> all = new ArrayList<>();
        mServed.forEach(
                (server, kinds) ->
                        kinds.forEach(
                                (kind, roles) ->
                                        roles.forEach(
                                                (role, count) ->
                                                        all.add(
                                                                new ServedCount(
                                                                        server, kind, role,
                                                                        count)))));
        return all;
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
        List<LeavingServerWork> all = new ArrayList<>();
        mLeaving.forEach(
                (server, s) ->
                        all.add(new LeavingServerWork(server, s.mNewWork, s.mLastAfterMillis)));
        return all;
    }

    synchronized void addViolation(Violation violation) {
        mViolations.add(violation);
    }

    synchronized List<Violation> violations() {
        return List.copyOf(mViolations);
    }
}
