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
final class GroupView {
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
    private final Map<ServerId, ServerWatch> mWatches = new HashMap<>();
    private final Map<InstanceId, Opinion> mOpinions = new HashMap<>();
    private long mTerm;
    private Optional<ServerId> mPrimary = Optional.empty();

    /** When the term or its primary became known; lost contact counts only from then on. */
    private long mChangedNanos;

    /** Whether a probe showed the primary in its role, and when that probe was sent. */
    private boolean mPrimarySeen;

    private long mPrimarySeenNanos;

    /** The term in which the primary was seen to have given up its role; -1 for none. */
    private long mResignedTerm = -1;

    GroupView(List<ServerId> servers, long nowNanos) {
        mServers = servers;
        mChangedNanos = nowNanos;
        restart(nowNanos);
    }

    /** Forgets all probes; the term and its primary stay. */
    void restart(long nowNanos) {
        mServers.forEach(each -> mWatches.put(each, new ServerWatch(each, nowNanos)));
        mOpinions.clear();
    }

    /** Forgets the silence of all servers, after this process stood still. */
    void restartSilence(long nowNanos) {
        mWatches.values().forEach(each -> each.restartSilence(nowNanos));
        mOpinions.clear();
    }

    long term() {
        return mTerm;
    }

    /** Returns when the term or its primary became known. */
    long changedNanos() {
        return mChangedNanos;
    }

    Optional<ServerId> primary() {
        return mPrimary;
    }

    Optional<ServerWatch> watch(ServerId server) {
        return Optional.ofNullable(mWatches.get(server));
    }

    /**
     * Takes in a term.
     *
     * @return whether the primary of the newest term became known
     */
    boolean observe(long term, Optional<ServerId> primary, long nowNanos) {
        if (term < mTerm || primary.isPresent() && !mWatches.containsKey(primary.get())) {
            return false;
        }
        if (term > mTerm) {
            mTerm = term;
            mPrimary = Optional.empty();
            mPrimarySeen = false;
            mChangedNanos = nowNanos;
        }
        if (primary.isEmpty() || mPrimary.isPresent() || mResignedTerm == mTerm) {
            return false;
        }
        mPrimary = primary;
        mChangedNanos = nowNanos;
        return true;
    }

    /** Takes in an answered probe; returns as {@link #observe} does. */
    boolean answer(ServerProbeResult state, long sentNanos, long nowNanos) {
        ServerWatch watch = mWatches.get(state.server());
        if (watch == null || !watch.answer(state, sentNanos, nowNanos)) {
            return false;
        }
        if (state.role() == ServerRole.PRIMARY) {
            if (state.term() == mTerm && mResignedTerm == mTerm) {
                mResignedTerm = -1;
            }
            boolean found = observe(state.term(), Optional.of(state.server()), nowNanos);
            if (state.term() == mTerm) {
                mPrimarySeen = true;
                mPrimarySeenNanos = sentNanos;
            }
            return found;
        }
        observe(state.term(), Optional.empty(), nowNanos);
        boolean resigned =
                state.term() == mTerm
                        && mPrimary.equals(Optional.of(state.server()))
                        && mPrimarySeen
                        && sentNanos - mPrimarySeenNanos > 0;
        if (resigned) {
            mResignedTerm = mTerm;
            mPrimary = Optional.empty();
            mChangedNanos = nowNanos;
        }
        return false;
    }

    void opinion(InstanceId instance, ServerId server, ProbeOpinion opinion, long nowNanos) {
        mOpinions.put(instance, new Opinion(server, opinion, nowNanos));
    }

    /** Returns the primary, or the only server that can be it while others follow one. */
    Optional<ServerId> presumedPrimary(long nowNanos) {
        if (mPrimary.isPresent() || !isFollowed(nowNanos)) {
            return mPrimary;
        }
        List<ServerId> absent =
                mServers.stream()
                        .filter(each -> recent(each, nowNanos).isEmpty())
                        .limit(2)
                        .toList();
        return absent.size() == 1 ? Optional.of(absent.get(0)) : Optional.empty();
    }

    long silenceNanos(ServerId server, long nowNanos) {
        return mWatches.get(server).silenceNanos(nowNanos);
    }

    /** Returns whether something calls for fast probes. */
    boolean isDoubtful(long nowNanos) {
        if (mPrimary.isEmpty() || isLeaving(mPrimary.get(), nowNanos)) {
            return true;
        }
        return mWatches.get(mPrimary.get()).waitingNanos(nowNanos)
                        >= GuardianTiming.PROBE_DOUBT_NANOS
                || withoutContact(mPrimary.get(), GuardianTiming.DEAD_NANOS, nowNanos) > 0;
    }

    /** Returns why the primary must be replaced now. */
    Cause cause(long nowNanos) {
        long reachable =
                mServers.stream().filter(each -> recent(each, nowNanos).isPresent()).count();
        if (reachable < majority()) {
            return Cause.NONE;
        }
        Optional<ServerId> primary = presumedPrimary(nowNanos);
        if (primary.isEmpty()) {
            return isFollowed(nowNanos) ? Cause.NONE : Cause.NO_PRIMARY;
        }
        if (isDead(primary.get(), nowNanos)) {
            return Cause.DEAD;
        }
        return isLeaving(primary.get(), nowNanos) && hasSuccessor(primary.get(), nowNanos)
                ? Cause.LEAVING
                : Cause.NONE;
    }

    /** Returns the servers that are about to stop. */
    Set<ServerId> leaving(long nowNanos) {
        return mServers.stream()
                .filter(each -> isLeaving(each, nowNanos))
                .collect(Collectors.toSet());
    }

    private boolean isDead(ServerId primary, long nowNanos) {
        long silence = silenceNanos(primary, nowNanos);
        if (silence >= GuardianTiming.DEAD_NANOS
                && withoutContact(primary, GuardianTiming.DEAD_NANOS, nowNanos) >= majority()) {
            return true;
        }
        // Such a primary confirms no writes, even when it answers this guardian.
        if (withoutContact(primary, GuardianTiming.UNREACHABLE_NANOS, nowNanos) >= majority()) {
            return true;
        }
        return silence >= GuardianTiming.UNREACHABLE_NANOS
                && mOpinions.values().stream()
                        .anyMatch(each -> each.isUnreachable(primary, nowNanos));
    }

    /** Returns how many servers recently reported no contact with the primary for a time. */
    private long withoutContact(ServerId primary, long nanos, long nowNanos) {
        if (nowNanos - mChangedNanos < nanos) {
            return 0;
        }
        return mServers.stream()
                .filter(each -> !each.equals(primary))
                .flatMap(each -> recent(each, nowNanos).stream())
                .filter(each -> !hasContact(each, nanos))
                .count();
    }

    private boolean hasContact(ServerProbeResult state, long nanos) {
        return state.role() == ServerRole.REPLICA
                && state.term() == mTerm
                && state.primaryContactAgeMillis() < nanos / 1_000_000;
    }

    /** Returns whether a server recently had contact with a primary of the newest term. */
    private boolean isFollowed(long nowNanos) {
        return mServers.stream()
                .flatMap(each -> recent(each, nowNanos).stream())
                .anyMatch(each -> hasContact(each, GuardianTiming.DEAD_NANOS));
    }

    private boolean isLeaving(ServerId server, long nowNanos) {
        return mWatches.get(server)
                .state(GuardianTiming.SLOW_INTERVAL_NANOS + GuardianTiming.RECENT_NANOS, nowNanos)
                .filter(ServerProbeResult::leaving)
                .isPresent();
    }

    /** Returns whether a change would surely find a server that stays and has every entry. */
    private boolean hasSuccessor(ServerId primary, long nowNanos) {
        List<ServerProbeResult> staying =
                mServers.stream()
                        .filter(each -> !each.equals(primary))
                        .flatMap(each -> recent(each, nowNanos).stream())
                        .filter(each -> !each.leaving() && each.term() == mTerm)
                        .toList();
        long position =
                recent(primary, nowNanos).map(ServerProbeResult::position).orElse(Long.MAX_VALUE);
        return staying.size() >= majority()
                || staying.stream().anyMatch(each -> each.position() >= position);
    }

    private Optional<ServerProbeResult> recent(ServerId server, long nowNanos) {
        return mWatches.get(server).state(GuardianTiming.RECENT_NANOS, nowNanos);
    }

    private int majority() {
        return mServers.size() / 2 + 1;
    }

    private record Opinion(ServerId server, ProbeOpinion opinion, long nanos) {
        boolean isUnreachable(ServerId primary, long nowNanos) {
            return server.equals(primary)
                    && opinion.known()
                    && opinion.silenceMillis() >= GuardianTiming.UNREACHABLE_NANOS / 1_000_000
                    && nowNanos - nanos <= GuardianTiming.RECENT_NANOS;
        }
    }
}
