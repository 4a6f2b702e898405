package org.plantainferry.engine.replacement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;

/**
 * Watches the group of one service from one instance, and replaces its primary when it is lost or
 * about to stop.
 *
 * <p>Every instance may hold one for each service; only the guardians among them probe. Methods
 * that take in events return the actions that follow at once, the others follow from {@link #tick},
 * which is to be called at least every 100 ms. Answers may be late, crossed, lost or repeated.
 *
 * @since 0.1
 */
public final class GroupMonitor {
    private final InstanceId mSelf;
    private final String mProposer;
    private final List<ServerId> mServers;
    private final GroupView mView;
    private Optional<Integer> mRank = Optional.empty();
    private List<InstanceId> mOthers = List.of();
    private Optional<Election> mElection = Optional.empty();

    /** Servers that did not answer their promotion in an earlier term. */
    private final Set<ServerId> mUnresponsive = new HashSet<>();

    private GroupView.Cause mCause = GroupView.Cause.NONE;
    private long mCauseNanos;
    private boolean mSuspicious;
    private long mSuspicionStartNanos;
    private long mSuspicionNanos;
    private boolean mPlannedHeld;
    private long mPlannedHeldNanos;
    private long mAskedNanos;
    private long mRoundNanos;
    private int mRound;
    private long mLastTickNanos;

    /**
     * Creates the guardian of a group of which nothing is known.
     *
     * @param self this instance
     * @param proposer names this process in fence and promote requests; another process must never
     *     use it, not even a later one with the same instance identifier, so it should contain the
     *     incarnation
     * @param servers the servers of the group
     */
    public GroupMonitor(InstanceId self, String proposer, List<ServerId> servers, long nowNanos) {
        mSelf = Preconditions.notNull(self, "self");
        mProposer = Preconditions.notNull(proposer, "proposer");
        mServers = List.copyOf(servers);
        Preconditions.condition(!mServers.isEmpty(), "servers must not be empty");
        mView = new GroupView(mServers, nowNanos);
        mLastTickNanos = nowNanos;
        mAskedNanos = nowNanos;
        mRoundNanos = nowNanos - GuardianTiming.SLOW_INTERVAL_NANOS;
    }

    /** Returns the highest known term. */
    public long term() {
        return mView.term();
    }

    /** Returns the primary of the highest known term, when it is known. */
    public Optional<ServerId> primary() {
        return mView.primary();
    }

    /** Returns the rank of this instance among the guardians; empty when it is none. */
    public Optional<Integer> rank() {
        return mRank;
    }

    /**
     * Takes in the guardians of the group; call it for every membership version.
     *
     * @param ranked the guardians, the first rank first
     */
    public void onMonitors(List<InstanceId> ranked, long nowNanos) {
        int index = ranked.indexOf(mSelf);
        Optional<Integer> rank = index < 0 ? Optional.empty() : Optional.of(index);
        if (mRank.isEmpty() && rank.isPresent()) {
            mView.restart(nowNanos);
            suspect(nowNanos);
        }
        mRank = rank;
        mOthers = ranked.stream().filter(each -> !each.equals(mSelf)).toList();
    }

    /**
     * Takes in the answer to a probe.
     *
     * @param sentNanos when the probe was sent
     */
    public List<GroupMonitorAction> onProbeAnswer(
            ServerProbeResult state, long sentNanos, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mView.answer(state, sentNanos, nowNanos)) {
            announce(actions);
        }
        advance(actions, nowNanos);
        return actions;
    }

    /** Takes in that a probe was refused, or was not answered in time. */
    public void onProbeFailure(ServerId server, long nowNanos) {
        if (mView.primary().equals(Optional.of(server))) {
            suspect(nowNanos);
        }
    }

    /** Takes in that a statement got no answer, or that the server refused it in its role. */
    public void onStatementFailure(ServerId server, long nowNanos) {
        suspect(nowNanos);
    }

    /** Takes in the answer to a fence request; failures need no report, as requests repeat. */
    public List<GroupMonitorAction> onFenceAnswer(
            ServerId server, long term, FenceAnswer answer, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mElection.isPresent() && mElection.get().term() == term) {
            mElection.get().onFenceAnswer(server, answer, nowNanos);
        }
        if (answer instanceof FenceAnswer.Refused refused) {
            mView.observe(refused.term(), Optional.empty(), nowNanos);
        }
        advance(actions, nowNanos);
        return actions;
    }

    /** Takes in the answer to a promote request; failures need no report, as requests repeat. */
    public List<GroupMonitorAction> onPromoteAnswer(
            ServerId server, long term, PromoteAnswer answer, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mElection.isPresent() && mElection.get().term() == term) {
            mElection.get().onPromoteAnswer(server, answer);
        }
        if (!answer.promoted()) {
            mView.observe(answer.term(), Optional.empty(), nowNanos);
        } else if (mView.observe(term, Optional.of(server), nowNanos)) {
            announce(actions, true);
        }
        advance(actions, nowNanos);
        return actions;
    }

    /** Takes in the opinion of another guardian. */
    public List<GroupMonitorAction> onOpinion(
            InstanceId instance, ServerId server, ProbeOpinion opinion, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        mView.opinion(instance, server, opinion, nowNanos);
        advance(actions, nowNanos);
        return actions;
    }

    /** Takes in a term and perhaps its primary, from traffic, a heartbeat or the store. */
    public List<GroupMonitorAction> onTerm(long term, Optional<ServerId> primary, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mView.observe(term, primary, nowNanos)) {
            announce(actions);
        }
        advance(actions, nowNanos);
        return actions;
    }

    /** Answers another guardian's question, and probes fast for a while. */
    public ProbeOpinion answerOpinionRequest(ServerId server, long nowNanos) {
        if (mRank.isEmpty() || mView.watch(server).isEmpty()) {
            return new ProbeOpinion(false, 0);
        }
        suspect(nowNanos);
        long silence = mView.silenceNanos(server, nowNanos);
        return new ProbeOpinion(true, TimeUnit.NANOSECONDS.toMillis(silence));
    }

    /** Returns the actions that are due. */
    public List<GroupMonitorAction> tick(long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (nowNanos - mLastTickNanos > GuardianTiming.PAUSE_NANOS) {
            mView.restartSilence(nowNanos);
            mCause = GroupView.Cause.NONE;
        }
        mLastTickNanos = nowNanos;
        if (mRank.isPresent()) {
            if (mElection.isPresent() || mView.isDoubtful(nowNanos)) {
                suspect(nowNanos);
            }
            if (nowNanos - mSuspicionNanos >= GuardianTiming.SUSPICION_NANOS) {
                mSuspicious = false;
            }
            probe(actions, nowNanos);
            ask(actions, nowNanos);
        }
        advance(actions, nowNanos);
        return actions;
    }

    private void suspect(long nowNanos) {
        if (!mSuspicious) {
            mSuspicious = true;
            mSuspicionStartNanos = nowNanos;
        }
        mSuspicionNanos = nowNanos;
    }

    private void probe(List<GroupMonitorAction> actions, long nowNanos) {
        if (mSuspicious) {
            boolean isLong = nowNanos - mSuspicionStartNanos >= GuardianTiming.LONG_SUSPICION_NANOS;
            long interval =
                    isLong
                            ? GuardianTiming.LONG_SUSPICION_INTERVAL_NANOS
                            : GuardianTiming.FAST_INTERVAL_NANOS;
            mServers.forEach(each -> probeWhenDue(each, interval, actions, nowNanos));
            return;
        }
        ServerId primary = mView.primary().orElseThrow();
        List<ServerId> others = mServers.stream().filter(each -> !each.equals(primary)).toList();
        if (mRank.orElseThrow() == 0) {
            probeWhenDue(primary, GuardianTiming.PRIMARY_INTERVAL_NANOS, actions, nowNanos);
            others.forEach(
                    each ->
                            probeWhenDue(
                                    each, GuardianTiming.SLOW_INTERVAL_NANOS, actions, nowNanos));
        } else if (nowNanos - mRoundNanos >= GuardianTiming.SLOW_INTERVAL_NANOS) {
            mRoundNanos = nowNanos;
            mRound++;
            probeWhenDue(primary, 0, actions, nowNanos);
            // A replica shows whether it has lost a primary that still answers this guardian.
            if (!others.isEmpty()) {
                probeWhenDue(others.get(mRound % others.size()), 0, actions, nowNanos);
            }
        }
    }

    private void probeWhenDue(
            ServerId server, long interval, List<GroupMonitorAction> actions, long nowNanos) {
        ServerWatch watch = mView.watch(server).orElseThrow();
        if (watch.isProbeDue(interval, nowNanos)) {
            watch.probe(nowNanos);
            actions.add(new GroupMonitorAction.Probe(server));
        }
    }

    private void ask(List<GroupMonitorAction> actions, long nowNanos) {
        Optional<ServerId> primary = mView.presumedPrimary(nowNanos);
        if (primary.isPresent()
                && mView.silenceNanos(primary.get(), nowNanos) >= GuardianTiming.ASK_SILENCE_NANOS
                && nowNanos - mAskedNanos >= GuardianTiming.ASK_INTERVAL_NANOS) {
            mAskedNanos = nowNanos;
            for (InstanceId each : mOthers) {
                actions.add(new GroupMonitorAction.RequestOpinion(each, primary.get()));
            }
        }
    }

    /** Starts, continues or ends an election. */
    private void advance(List<GroupMonitorAction> actions, long nowNanos) {
        if (mElection.isPresent() && mElection.get().term() < mView.term()) {
            mElection = Optional.empty();
        }
        if (mElection.isPresent()
                && mElection.get().term() == mView.term()
                && mView.primary().isPresent()) {
            finish(mView.primary().get(), nowNanos);
        }
        if (mElection.isEmpty() && mRank.isPresent()) {
            startWhenDue(nowNanos);
        }
        if (mElection.isPresent()) {
            step(mElection.get(), actions, nowNanos);
        }
    }

    private void startWhenDue(long nowNanos) {
        GroupView.Cause cause = mView.cause(nowNanos);
        boolean isOld = mCauseNanos - mView.changedNanos() < 0;
        if (cause != mCause || isOld) {
            mCause = cause;
            mCauseNanos = nowNanos;
        }
        boolean held =
                cause == GroupView.Cause.LEAVING
                        && mPlannedHeld
                        && nowNanos - mPlannedHeldNanos < GuardianTiming.PLANNED_RETRY_NANOS;
        if (cause != GroupView.Cause.NONE
                && !held
                && nowNanos - mCauseNanos >= delayNanos(cause, mRank.orElseThrow())) {
            mElection = Optional.of(new Election(mView.term() + 1, mProposer, mServers, nowNanos));
            mCause = GroupView.Cause.NONE;
        }
    }

    private static long delayNanos(GroupView.Cause cause, int rank) {
        return switch (cause) {
            case LEAVING -> rank * GuardianTiming.PLANNED_RANK_DELAY_NANOS;
            case NO_PRIMARY ->
                    GuardianTiming.NO_PRIMARY_NANOS + rank * GuardianTiming.RANK_DELAY_NANOS;
            default -> rank * GuardianTiming.RANK_DELAY_NANOS;
        };
    }

    private void step(Election election, List<GroupMonitorAction> actions, long nowNanos) {
        Set<ServerId> avoided = new HashSet<>(mView.leaving(nowNanos));
        avoided.addAll(mUnresponsive);
        actions.addAll(election.step(avoided, nowNanos));
        if (election.isLost()) {
            election.chosen().ifPresent(mUnresponsive::add);
            mView.observe(election.term(), Optional.empty(), nowNanos);
            mElection = Optional.empty();
        }
    }

    private void finish(ServerId primary, long nowNanos) {
        mElection = Optional.empty();
        mUnresponsive.clear();
        mPlannedHeld = mView.leaving(nowNanos).contains(primary);
        mPlannedHeldNanos = nowNanos;
    }

    private void announce(List<GroupMonitorAction> actions) {
        boolean elected =
                mElection.isPresent()
                        && mElection.get().term() == mView.term()
                        && mElection.get().chosen().equals(mView.primary());
        announce(actions, elected);
    }

    private void announce(List<GroupMonitorAction> actions, boolean elected) {
        actions.add(
                new GroupMonitorAction.Announce(
                        mView.term(), mView.primary().orElseThrow(), elected));
    }
}
