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
    private final PrimaryFailureDetector mFailureDetector;
    private Optional<Integer> mRank = Optional.empty();
    private List<InstanceId> mOtherMonitors = List.of();
    private Optional<Election> mElection = Optional.empty();

    /** Servers that did not answer their promotion in an earlier term. */
    private final Set<ServerId> mUnresponsive = new HashSet<>();

    private PrimaryFailureDetector.Cause mCause = PrimaryFailureDetector.Cause.NONE;
    private long mCauseStartNanos;
    private boolean mSuspicionActive;
    private long mSuspicionStartNanos;
    private long mLatestSuspicionNanos;
    private boolean mSwitchoverKeptPrimary;
    private long mSwitchoverEndNanos;
    private long mOpinionsRequestedNanos;
    private long mProbeRoundNanos;
    private int mProbeRound;
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
        mFailureDetector = new PrimaryFailureDetector(mServers, nowNanos);
        mLastTickNanos = nowNanos;
        mOpinionsRequestedNanos = nowNanos;
        mProbeRoundNanos = nowNanos - GroupMonitorTiming.SLOW_PROBE_INTERVAL_NANOS;
    }

    /** Returns the highest known term. */
    public long term() {
        return mFailureDetector.term();
    }

    /** Returns the primary of the highest known term, when it is known. */
    public Optional<ServerId> primary() {
        return mFailureDetector.primary();
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
            mFailureDetector.resetProbes(nowNanos);
            raiseSuspicion(nowNanos);
        }
        mRank = rank;
        mOtherMonitors = ranked.stream().filter(each -> !each.equals(mSelf)).toList();
    }

    /**
     * Takes in the answer to a probe.
     *
     * @param sentNanos when the probe was sent
     */
    public List<GroupMonitorAction> onProbeAnswer(
            ServerProbeResult state, long sentNanos, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mFailureDetector.onProbeAnswer(state, sentNanos, nowNanos)) {
            announce(actions);
        }
        advanceElection(actions, nowNanos);
        return actions;
    }

    /** Takes in that a probe was refused, or was not answered in time. */
    public void onProbeFailure(ServerId server, long nowNanos) {
        if (mFailureDetector.primary().equals(Optional.of(server))) {
            raiseSuspicion(nowNanos);
        }
    }

    /** Takes in that a statement got no answer, or that the server refused it in its role. */
    public void onStatementFailure(ServerId server, long nowNanos) {
        raiseSuspicion(nowNanos);
    }

    /** Takes in the answer to a fence request; failures need no report, as requests repeat. */
    public List<GroupMonitorAction> onFenceAnswer(
            ServerId server, long term, FenceAnswer answer, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mElection.isPresent() && mElection.get().term() == term) {
            mElection.get().onFenceAnswer(server, answer, nowNanos);
        }
        if (answer instanceof FenceAnswer.Refused refused) {
            mFailureDetector.onTerm(refused.term(), Optional.empty(), nowNanos);
        }
        advanceElection(actions, nowNanos);
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
            mFailureDetector.onTerm(answer.term(), Optional.empty(), nowNanos);
        } else if (mFailureDetector.onTerm(term, Optional.of(server), nowNanos)) {
            announce(actions, true);
        }
        advanceElection(actions, nowNanos);
        return actions;
    }

    /** Takes in the opinion of another guardian. */
    public List<GroupMonitorAction> onOpinion(
            InstanceId instance, ServerId server, ProbeOpinion opinion, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        mFailureDetector.onOpinion(instance, server, opinion, nowNanos);
        advanceElection(actions, nowNanos);
        return actions;
    }

    /** Takes in a term and perhaps its primary, from traffic, a heartbeat or the store. */
    public List<GroupMonitorAction> onTerm(long term, Optional<ServerId> primary, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mFailureDetector.onTerm(term, primary, nowNanos)) {
            announce(actions);
        }
        advanceElection(actions, nowNanos);
        return actions;
    }

    /** Answers another guardian's question, and probes fast for a while. */
    public ProbeOpinion answerOpinionRequest(ServerId server, long nowNanos) {
        if (mRank.isEmpty() || mFailureDetector.probeTracker(server).isEmpty()) {
            return new ProbeOpinion(false, 0);
        }
        raiseSuspicion(nowNanos);
        long silence = mFailureDetector.silenceNanos(server, nowNanos);
        return new ProbeOpinion(true, TimeUnit.NANOSECONDS.toMillis(silence));
    }

    /** Returns the actions that are due. */
    public List<GroupMonitorAction> tick(long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (nowNanos - mLastTickNanos > GroupMonitorTiming.PROCESS_PAUSE_THRESHOLD_NANOS) {
            mFailureDetector.resetSilence(nowNanos);
            mCause = PrimaryFailureDetector.Cause.NONE;
        }
        mLastTickNanos = nowNanos;
        if (mRank.isPresent()) {
            if (mElection.isPresent() || mFailureDetector.needsFastProbes(nowNanos)) {
                raiseSuspicion(nowNanos);
            }
            if (nowNanos - mLatestSuspicionNanos >= GroupMonitorTiming.SUSPICION_DURATION_NANOS) {
                mSuspicionActive = false;
            }
            addDueProbes(actions, nowNanos);
            addOpinionRequests(actions, nowNanos);
        }
        advanceElection(actions, nowNanos);
        return actions;
    }

    private void raiseSuspicion(long nowNanos) {
        if (!mSuspicionActive) {
            mSuspicionActive = true;
            mSuspicionStartNanos = nowNanos;
        }
        mLatestSuspicionNanos = nowNanos;
    }

    private void addDueProbes(List<GroupMonitorAction> actions, long nowNanos) {
        if (mSuspicionActive) {
            boolean isLong =
                    nowNanos - mSuspicionStartNanos
                            >= GroupMonitorTiming.LONG_SUSPICION_THRESHOLD_NANOS;
            long interval =
                    isLong
                            ? GroupMonitorTiming.LONG_SUSPICION_PROBE_INTERVAL_NANOS
                            : GroupMonitorTiming.FAST_PROBE_INTERVAL_NANOS;
            mServers.forEach(each -> addProbeWhenDue(each, interval, actions, nowNanos));
            return;
        }
        ServerId primary = mFailureDetector.primary().orElseThrow();
        List<ServerId> others = mServers.stream().filter(each -> !each.equals(primary)).toList();
        if (mRank.orElseThrow() == 0) {
            addProbeWhenDue(
                    primary, GroupMonitorTiming.PRIMARY_PROBE_INTERVAL_NANOS, actions, nowNanos);
            others.forEach(
                    each ->
                            addProbeWhenDue(
                                    each,
                                    GroupMonitorTiming.SLOW_PROBE_INTERVAL_NANOS,
                                    actions,
                                    nowNanos));
        } else if (nowNanos - mProbeRoundNanos >= GroupMonitorTiming.SLOW_PROBE_INTERVAL_NANOS) {
            mProbeRoundNanos = nowNanos;
            mProbeRound++;
            addProbeWhenDue(primary, 0, actions, nowNanos);
            // A replica shows whether it has lost a primary that still answers this guardian.
            if (!others.isEmpty()) {
                addProbeWhenDue(others.get(mProbeRound % others.size()), 0, actions, nowNanos);
            }
        }
    }

    private void addProbeWhenDue(
            ServerId server, long interval, List<GroupMonitorAction> actions, long nowNanos) {
        ProbeTracker watch = mFailureDetector.probeTracker(server).orElseThrow();
        if (watch.isProbeDue(interval, nowNanos)) {
            watch.onProbeSent(nowNanos);
            actions.add(new GroupMonitorAction.Probe(server));
        }
    }

    private void addOpinionRequests(List<GroupMonitorAction> actions, long nowNanos) {
        Optional<ServerId> primary = mFailureDetector.presumedPrimary(nowNanos);
        if (primary.isPresent()
                && mFailureDetector.silenceNanos(primary.get(), nowNanos)
                        >= GroupMonitorTiming.OPINION_REQUEST_SILENCE_NANOS
                && nowNanos - mOpinionsRequestedNanos
                        >= GroupMonitorTiming.OPINION_REQUEST_INTERVAL_NANOS) {
            mOpinionsRequestedNanos = nowNanos;
            for (InstanceId each : mOtherMonitors) {
                actions.add(new GroupMonitorAction.RequestOpinion(each, primary.get()));
            }
        }
    }

    /** Starts, continues or ends an election. */
    private void advanceElection(List<GroupMonitorAction> actions, long nowNanos) {
        if (mElection.isPresent() && mElection.get().term() < mFailureDetector.term()) {
            mElection = Optional.empty();
        }
        if (mElection.isPresent()
                && mElection.get().term() == mFailureDetector.term()
                && mFailureDetector.primary().isPresent()) {
            finishElection(mFailureDetector.primary().get(), nowNanos);
        }
        if (mElection.isEmpty() && mRank.isPresent()) {
            startElectionWhenDue(nowNanos);
        }
        if (mElection.isPresent()) {
            stepElection(mElection.get(), actions, nowNanos);
        }
    }

    private void startElectionWhenDue(long nowNanos) {
        PrimaryFailureDetector.Cause cause = mFailureDetector.replacementCause(nowNanos);
        boolean isOld = mCauseStartNanos - mFailureDetector.primaryChangedNanos() < 0;
        if (cause != mCause || isOld) {
            mCause = cause;
            mCauseStartNanos = nowNanos;
        }
        boolean held =
                cause == PrimaryFailureDetector.Cause.LEAVING
                        && mSwitchoverKeptPrimary
                        && nowNanos - mSwitchoverEndNanos
                                < GroupMonitorTiming.SWITCHOVER_RETRY_DELAY_NANOS;
        if (cause != PrimaryFailureDetector.Cause.NONE
                && !held
                && nowNanos - mCauseStartNanos >= delayNanos(cause, mRank.orElseThrow())) {
            mElection =
                    Optional.of(
                            new Election(
                                    mFailureDetector.term() + 1, mProposer, mServers, nowNanos));
            mCause = PrimaryFailureDetector.Cause.NONE;
        }
    }

    private static long delayNanos(PrimaryFailureDetector.Cause cause, int rank) {
        return switch (cause) {
            case LEAVING -> rank * GroupMonitorTiming.SWITCHOVER_RANK_DELAY_NANOS;
            case NO_PRIMARY ->
                    GroupMonitorTiming.NO_PRIMARY_TIMEOUT_NANOS
                            + rank * GroupMonitorTiming.RANK_DELAY_NANOS;
            default -> rank * GroupMonitorTiming.RANK_DELAY_NANOS;
        };
    }

    private void stepElection(Election election, List<GroupMonitorAction> actions, long nowNanos) {
        Set<ServerId> avoided = new HashSet<>(mFailureDetector.leavingServers(nowNanos));
        avoided.addAll(mUnresponsive);
        actions.addAll(election.dueRequests(avoided, nowNanos));
        if (election.isLost()) {
            election.candidate().ifPresent(mUnresponsive::add);
            mFailureDetector.onTerm(election.term(), Optional.empty(), nowNanos);
            mElection = Optional.empty();
        }
    }

    private void finishElection(ServerId primary, long nowNanos) {
        mElection = Optional.empty();
        mUnresponsive.clear();
        mSwitchoverKeptPrimary = mFailureDetector.leavingServers(nowNanos).contains(primary);
        mSwitchoverEndNanos = nowNanos;
    }

    private void announce(List<GroupMonitorAction> actions) {
        boolean elected =
                mElection.isPresent()
                        && mElection.get().term() == mFailureDetector.term()
                        && mElection.get().candidate().equals(mFailureDetector.primary());
        announce(actions, elected);
    }

    private void announce(List<GroupMonitorAction> actions, boolean elected) {
        actions.add(
                new GroupMonitorAction.Announce(
                        mFailureDetector.term(),
                        mFailureDetector.primary().orElseThrow(),
                        elected));
    }
}
