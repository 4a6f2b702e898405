package org.plantainferry.engine.replacement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;

/** Detects from probe results and opinions whether the primary of a group must be replaced. */
final class PrimaryFailureDetector {
    /** Lists the reasons to replace the primary. */
    enum Cause {
        /** The primary is to be kept. */
        NONE,
        /** The primary is dead or unreachable. */
        DEAD,
        /** The newest term has no primary. */
        NO_PRIMARY,
        /** The primary is about to stop. */
        LEAVING
    }

    private final List<ServerId> mServers;
    private final Map<ServerId, ProbeTracker> mProbeTrackers = new HashMap<>();
    private final Map<InstanceId, MonitorOpinion> mOpinions = new HashMap<>();
    private long mTerm;
    private Optional<ServerId> mPrimary = Optional.empty();

    /** When the term or its primary last changed; lost contact counts only from then on. */
    private long mPrimaryChangedNanos;

    /** Whether a probe has shown the primary in its role. */
    private boolean mPrimaryRoleConfirmed;

    private long mPrimaryRoleProbeSentNanos;

    /** Term in which the primary gave up its role; -1 for none. */
    private long mResignedTerm = -1;

    PrimaryFailureDetector(List<ServerId> servers, long nowNanos) {
        mServers = servers;
        mPrimaryChangedNanos = nowNanos;
        resetProbes(nowNanos);
    }

    /** Discards all probe results and opinions; the term and its primary stay. */
    void resetProbes(long nowNanos) {
        mServers.forEach(server -> mProbeTrackers.put(server, new ProbeTracker(server, nowNanos)));
        mOpinions.clear();
    }

    /** Discards the silence of all servers and the opinions, after a pause of this process. */
    void resetSilence(long nowNanos) {
        mProbeTrackers.values().forEach(tracker -> tracker.resetSilence(nowNanos));
        mOpinions.clear();
    }

    long term() {
        return mTerm;
    }

    /** Returns when the term or its primary last changed. */
    long primaryChangedNanos() {
        return mPrimaryChangedNanos;
    }

    Optional<ServerId> primary() {
        return mPrimary;
    }

    Optional<ProbeTracker> probeTracker(ServerId server) {
        return Optional.ofNullable(mProbeTrackers.get(server));
    }

    /**
     * Handles a term; an earlier term and a primary outside the group are ignored.
     *
     * @return whether the primary of the newest term became known
     */
    boolean onTerm(long term, Optional<ServerId> primary, long nowNanos) {
        if (term < mTerm || primary.isPresent() && !mProbeTrackers.containsKey(primary.get())) {
            return false;
        }
        if (term > mTerm) {
            mTerm = term;
            mPrimary = Optional.empty();
            mPrimaryRoleConfirmed = false;
            mPrimaryChangedNanos = nowNanos;
        }
        if (primary.isEmpty() || mPrimary.isPresent() || mResignedTerm == mTerm) {
            return false;
        }
        mPrimary = primary;
        mPrimaryChangedNanos = nowNanos;
        return true;
    }

    /** Handles the answer to a probe; returns the same as {@link #onTerm}. */
    boolean onProbeAnswer(ServerProbeResult result, long sentNanos, long nowNanos) {
        ProbeTracker tracker = mProbeTrackers.get(result.server());
        if (tracker == null || !tracker.onProbeAnswer(result, sentNanos, nowNanos)) {
            return false;
        }
        if (result.role() == ServerRole.PRIMARY) {
            if (result.term() == mTerm && mResignedTerm == mTerm) {
                mResignedTerm = -1;
            }
            boolean found = onTerm(result.term(), Optional.of(result.server()), nowNanos);
            if (result.term() == mTerm) {
                mPrimaryRoleConfirmed = true;
                mPrimaryRoleProbeSentNanos = sentNanos;
            }
            return found;
        }
        onTerm(result.term(), Optional.empty(), nowNanos);
        boolean resigned =
                result.term() == mTerm
                        && mPrimary.equals(Optional.of(result.server()))
                        && mPrimaryRoleConfirmed
                        && sentNanos - mPrimaryRoleProbeSentNanos > 0;
        if (resigned) {
            mResignedTerm = mTerm;
            mPrimary = Optional.empty();
            mPrimaryChangedNanos = nowNanos;
        }
        return false;
    }

    void onOpinion(InstanceId instance, ServerId server, ProbeOpinion opinion, long nowNanos) {
        mOpinions.put(instance, new MonitorOpinion(server, opinion, nowNanos));
    }

    /**
     * Returns the known primary, or the only server that can be the primary.
     *
     * <p>While a replica has contact with an unknown primary, that is the single server without a
     * recent probe result; empty when there are several.
     */
    Optional<ServerId> presumedPrimary(long nowNanos) {
        if (mPrimary.isPresent() || !isPrimaryFollowed(nowNanos)) {
            return mPrimary;
        }
        List<ServerId> absent =
                mServers.stream()
                        .filter(server -> recentProbeResult(server, nowNanos).isEmpty())
                        .limit(2)
                        .toList();
        return absent.size() == 1 ? Optional.of(absent.get(0)) : Optional.empty();
    }

    long silenceNanos(ServerId server, long nowNanos) {
        return mProbeTrackers.get(server).silenceNanos(nowNanos);
    }

    /** Returns whether the state of the primary is in doubt, so that fast probes are needed. */
    boolean needsFastProbes(long nowNanos) {
        if (mPrimary.isEmpty() || isLeaving(mPrimary.get(), nowNanos)) {
            return true;
        }
        return mProbeTrackers.get(mPrimary.get()).unansweredProbeNanos(nowNanos)
                        >= GroupMonitorTiming.PROBE_SUSPICION_TIMEOUT_NANOS
                || countWithoutPrimaryContact(
                                mPrimary.get(), GroupMonitorTiming.DEAD_TIMEOUT_NANOS, nowNanos)
                        > 0;
    }

    /** Returns why the primary must be replaced; none while fewer than a majority answer. */
    Cause replacementCause(long nowNanos) {
        long reachable =
                mServers.stream()
                        .filter(server -> recentProbeResult(server, nowNanos).isPresent())
                        .count();
        if (reachable < majority()) {
            return Cause.NONE;
        }
        Optional<ServerId> primary = presumedPrimary(nowNanos);
        if (primary.isEmpty()) {
            return isPrimaryFollowed(nowNanos) ? Cause.NONE : Cause.NO_PRIMARY;
        }
        if (isDead(primary.get(), nowNanos)) {
            return Cause.DEAD;
        }
        return isLeaving(primary.get(), nowNanos) && hasSuccessor(primary.get(), nowNanos)
                ? Cause.LEAVING
                : Cause.NONE;
    }

    /** Returns the servers that are about to stop. */
    Set<ServerId> leavingServers(long nowNanos) {
        return mServers.stream()
                .filter(server -> isLeaving(server, nowNanos))
                .collect(Collectors.toSet());
    }

    private boolean isDead(ServerId primary, long nowNanos) {
        long silence = silenceNanos(primary, nowNanos);
        if (silence >= GroupMonitorTiming.DEAD_TIMEOUT_NANOS
                && countWithoutPrimaryContact(
                                primary, GroupMonitorTiming.DEAD_TIMEOUT_NANOS, nowNanos)
                        >= majority()) {
            return true;
        }
        // Such a primary cannot confirm writes, even when it answers this monitor.
        if (countWithoutPrimaryContact(
                        primary, GroupMonitorTiming.UNREACHABLE_TIMEOUT_NANOS, nowNanos)
                >= majority()) {
            return true;
        }
        return silence >= GroupMonitorTiming.UNREACHABLE_TIMEOUT_NANOS
                && mOpinions.values().stream()
                        .anyMatch(opinion -> opinion.isUnreachable(primary, nowNanos));
    }

    /** Returns how many servers recently reported no contact with the primary for {@code nanos}. */
    private long countWithoutPrimaryContact(ServerId primary, long nanos, long nowNanos) {
        if (nowNanos - mPrimaryChangedNanos < nanos) {
            return 0;
        }
        return mServers.stream()
                .filter(server -> !server.equals(primary))
                .flatMap(server -> recentProbeResult(server, nowNanos).stream())
                .filter(result -> !hasPrimaryContact(result, nanos))
                .count();
    }

    private boolean hasPrimaryContact(ServerProbeResult result, long nanos) {
        return result.role() == ServerRole.REPLICA
                && result.term() == mTerm
                && result.primaryContactAgeMillis() < nanos / 1_000_000;
    }

    /** Returns whether a server recently had contact with a primary of the newest term. */
    private boolean isPrimaryFollowed(long nowNanos) {
        return mServers.stream()
                .flatMap(server -> recentProbeResult(server, nowNanos).stream())
                .anyMatch(
                        result -> hasPrimaryContact(result, GroupMonitorTiming.DEAD_TIMEOUT_NANOS));
    }

    private boolean isLeaving(ServerId server, long nowNanos) {
        return mProbeTrackers
                .get(server)
                .latestResult(
                        GroupMonitorTiming.SLOW_PROBE_INTERVAL_NANOS
                                + GroupMonitorTiming.MAX_REPORT_AGE_NANOS,
                        nowNanos)
                .filter(ServerProbeResult::leaving)
                .isPresent();
    }

    /** Returns whether an election is certain to find a remaining server with every log entry. */
    private boolean hasSuccessor(ServerId primary, long nowNanos) {
        List<ServerProbeResult> staying =
                mServers.stream()
                        .filter(server -> !server.equals(primary))
                        .flatMap(server -> recentProbeResult(server, nowNanos).stream())
                        .filter(result -> !result.leaving() && result.term() == mTerm)
                        .toList();
        long position =
                recentProbeResult(primary, nowNanos)
                        .map(ServerProbeResult::position)
                        .orElse(Long.MAX_VALUE);
        return staying.size() >= majority()
                || staying.stream().anyMatch(result -> result.position() >= position);
    }

    private Optional<ServerProbeResult> recentProbeResult(ServerId server, long nowNanos) {
        return mProbeTrackers
                .get(server)
                .latestResult(GroupMonitorTiming.MAX_REPORT_AGE_NANOS, nowNanos);
    }

    private int majority() {
        return mServers.size() / 2 + 1;
    }

    private record MonitorOpinion(ServerId server, ProbeOpinion opinion, long receivedNanos) {
        boolean isUnreachable(ServerId primary, long nowNanos) {
            return server.equals(primary)
                    && opinion.known()
                    && opinion.silenceMillis()
                            >= GroupMonitorTiming.UNREACHABLE_TIMEOUT_NANOS / 1_000_000
                    && nowNanos - receivedNanos <= GroupMonitorTiming.MAX_REPORT_AGE_NANOS;
        }
    }
}
