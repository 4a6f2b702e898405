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

/** Keeps what a guardian knows of a group, and judges whether its primary must be replaced. */
final class PrimaryFailureDetector {
    /** Lists the reasons to replace the primary. */
    enum Cause {
        /** There is none. */
        NONE,
        /** The primary is dead or cut off. */
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

    /** When the term or its primary became known; lost contact counts only from then on. */
    private long mPrimaryChangedNanos;

    /** Whether a probe showed the primary in its role, and when that probe was sent. */
    private boolean mPrimaryRoleConfirmed;

    private long mPrimaryRoleProbeSentNanos;

    /** The term in which the primary was seen to have given up its role; -1 for none. */
    private long mResignedTerm = -1;

    PrimaryFailureDetector(List<ServerId> servers, long nowNanos) {
        mServers = servers;
        mPrimaryChangedNanos = nowNanos;
        resetProbes(nowNanos);
    }

    /** Forgets all probes; the term and its primary stay. */
    void resetProbes(long nowNanos) {
        mServers.forEach(each -> mProbeTrackers.put(each, new ProbeTracker(each, nowNanos)));
        mOpinions.clear();
    }

    /** Forgets the silence of all servers, after this process stood still. */
    void resetSilence(long nowNanos) {
        mProbeTrackers.values().forEach(each -> each.resetSilence(nowNanos));
        mOpinions.clear();
    }

    long term() {
        return mTerm;
    }

    /** Returns when the term or its primary became known. */
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
     * Takes in a term.
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

    /** Takes in an answered probe; returns as {@link #onTerm} does. */
    boolean onProbeAnswer(ServerProbeResult state, long sentNanos, long nowNanos) {
        ProbeTracker watch = mProbeTrackers.get(state.server());
        if (watch == null || !watch.onProbeAnswer(state, sentNanos, nowNanos)) {
            return false;
        }
        if (state.role() == ServerRole.PRIMARY) {
            if (state.term() == mTerm && mResignedTerm == mTerm) {
                mResignedTerm = -1;
            }
            boolean found = onTerm(state.term(), Optional.of(state.server()), nowNanos);
            if (state.term() == mTerm) {
                mPrimaryRoleConfirmed = true;
                mPrimaryRoleProbeSentNanos = sentNanos;
            }
            return found;
        }
        onTerm(state.term(), Optional.empty(), nowNanos);
        boolean resigned =
                state.term() == mTerm
                        && mPrimary.equals(Optional.of(state.server()))
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

    /** Returns the primary, or the only server that can be it while others follow one. */
    Optional<ServerId> presumedPrimary(long nowNanos) {
        if (mPrimary.isPresent() || !isPrimaryFollowed(nowNanos)) {
            return mPrimary;
        }
        List<ServerId> absent =
                mServers.stream()
                        .filter(each -> recentProbeResult(each, nowNanos).isEmpty())
                        .limit(2)
                        .toList();
        return absent.size() == 1 ? Optional.of(absent.get(0)) : Optional.empty();
    }

    long silenceNanos(ServerId server, long nowNanos) {
        return mProbeTrackers.get(server).silenceNanos(nowNanos);
    }

    /** Returns whether something calls for fast probes. */
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

    /** Returns why the primary must be replaced now. */
    Cause replacementCause(long nowNanos) {
        long reachable =
                mServers.stream()
                        .filter(each -> recentProbeResult(each, nowNanos).isPresent())
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
                .filter(each -> isLeaving(each, nowNanos))
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
        // Such a primary confirms no writes, even when it answers this guardian.
        if (countWithoutPrimaryContact(
                        primary, GroupMonitorTiming.UNREACHABLE_TIMEOUT_NANOS, nowNanos)
                >= majority()) {
            return true;
        }
        return silence >= GroupMonitorTiming.UNREACHABLE_TIMEOUT_NANOS
                && mOpinions.values().stream()
                        .anyMatch(each -> each.isUnreachable(primary, nowNanos));
    }

    /** Returns how many servers recently reported no contact with the primary for a time. */
    private long countWithoutPrimaryContact(ServerId primary, long nanos, long nowNanos) {
        if (nowNanos - mPrimaryChangedNanos < nanos) {
            return 0;
        }
        return mServers.stream()
                .filter(each -> !each.equals(primary))
                .flatMap(each -> recentProbeResult(each, nowNanos).stream())
                .filter(each -> !hasPrimaryContact(each, nanos))
                .count();
    }

    private boolean hasPrimaryContact(ServerProbeResult state, long nanos) {
        return state.role() == ServerRole.REPLICA
                && state.term() == mTerm
                && state.primaryContactAgeMillis() < nanos / 1_000_000;
    }

    /** Returns whether a server recently had contact with a primary of the newest term. */
    private boolean isPrimaryFollowed(long nowNanos) {
        return mServers.stream()
                .flatMap(each -> recentProbeResult(each, nowNanos).stream())
                .anyMatch(each -> hasPrimaryContact(each, GroupMonitorTiming.DEAD_TIMEOUT_NANOS));
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

    /** Returns whether a change would surely find a server that stays and has every entry. */
    private boolean hasSuccessor(ServerId primary, long nowNanos) {
        List<ServerProbeResult> staying =
                mServers.stream()
                        .filter(each -> !each.equals(primary))
                        .flatMap(each -> recentProbeResult(each, nowNanos).stream())
                        .filter(each -> !each.leaving() && each.term() == mTerm)
                        .toList();
        long position =
                recentProbeResult(primary, nowNanos)
                        .map(ServerProbeResult::position)
                        .orElse(Long.MAX_VALUE);
        return staying.size() >= majority()
                || staying.stream().anyMatch(each -> each.position() >= position);
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
