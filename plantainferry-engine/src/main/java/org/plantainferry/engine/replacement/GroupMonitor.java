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
 * Monitors the server group of one service and replaces its primary when it has failed or is about
 * to stop.
 *
 * <p>Every instance may hold a monitor for each service; only those that rank among the monitors of
 * the group send probes and start elections. Event methods return the actions that are due at once;
 * {@link #tick} returns those that become due over time and is to be called at least every 100 ms.
 * Answers may arrive late, out of order, repeatedly or not at all.
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

    /** Servers whose promotion failed or went unanswered since the last successful election. */
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
     * Creates a monitor without knowledge of the group's term and primary.
     *
     * @param self this instance
     * @param proposer the name of this process in fence and promote requests; no other process may
     *     ever use it, not even a later one with the same instance identifier, so it should contain
     *     the incarnation
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

    /** Returns the primary of the highest known term; empty when it is not known. */
    public Optional<ServerId> primary() {
        return mFailureDetector.primary();
    }

    /**
     * Returns the rank of this instance among the monitors of the group; empty when it has none.
     */
    public Optional<Integer> rank() {
        return mRank;
    }

    /**
     * Updates the monitors of the group; to be called for every membership version.
     *
     * @param ranked the monitors in the order of their ranks
     */
    public void onMonitors(List<InstanceId> ranked, long nowNanos) {
        int index = ranked.indexOf(mSelf);
        Optional<Integer> rank = index < 0 ? Optional.empty() : Optional.of(index);
        if (mRank.isEmpty() && rank.isPresent()) {
            mFailureDetector.resetProbes(nowNanos);
            raiseSuspicion(nowNanos);
        }
        mRank = rank;
        mOtherMonitors = ranked.stream().filter(monitor -> !monitor.equals(mSelf)).toList();
    }

    /**
     * Handles the answer to a probe.
     *
     * @param sentNanos when the probe was sent
     */
    public List<GroupMonitorAction> onProbeAnswer(
            ServerProbeResult result, long sentNanos, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mFailureDetector.onProbeAnswer(result, sentNanos, nowNanos)) {
            announce(actions);
        }
        advanceElection(actions, nowNanos);
        return actions;
    }

    /** Handles a probe that was refused or not answered in time. */
    public void onProbeFailure(ServerId server, long nowNanos) {
        if (mFailureDetector.primary().equals(Optional.of(server))) {
            raiseSuspicion(nowNanos);
        }
    }

    /** Handles a statement that got no answer, or that the server refused because of its role. */
    public void onStatementFailure(ServerId server, long nowNanos) {
        raiseSuspicion(nowNanos);
    }

    /** Handles the answer to a fence request; failures need no report, as requests are repeated. */
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

    /**
     * Handles the answer to a promote request; failures need no report, as requests are repeated.
     */
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

    /** Handles the opinion of another monitor. */
    public List<GroupMonitorAction> onOpinion(
            InstanceId instance, ServerId server, ProbeOpinion opinion, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        mFailureDetector.onOpinion(instance, server, opinion, nowNanos);
        advanceElection(actions, nowNanos);
        return actions;
    }

    /** Handles a term, with or without its primary, from traffic, a heartbeat or the store. */
    public List<GroupMonitorAction> onTerm(long term, Optional<ServerId> primary, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mFailureDetector.onTerm(term, primary, nowNanos)) {
            announce(actions);
        }
        advanceElection(actions, nowNanos);
        return actions;
    }

    /**
     * Returns the opinion of a server for another monitor, and starts fast probes.
     *
     * <p>The opinion is unknown when this instance has no rank or the server is not in the group.
     */
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
            mServers.forEach(server -> addProbeWhenDue(server, interval, actions, nowNanos));
            return;
        }
        ServerId primary = mFailureDetector.primary().orElseThrow();
        List<ServerId> replicas =
                mServers.stream().filter(server -> !server.equals(primary)).toList();
        if (mRank.orElseThrow() == 0) {
            addProbeWhenDue(
                    primary, GroupMonitorTiming.PRIMARY_PROBE_INTERVAL_NANOS, actions, nowNanos);
            replicas.forEach(
                    server ->
                            addProbeWhenDue(
                                    server,
                                    GroupMonitorTiming.SLOW_PROBE_INTERVAL_NANOS,
                                    actions,
                                    nowNanos));
        } else if (nowNanos - mProbeRoundNanos >= GroupMonitorTiming.SLOW_PROBE_INTERVAL_NANOS) {
            mProbeRoundNanos = nowNanos;
            mProbeRound++;
            addProbeWhenDue(primary, 0, actions, nowNanos);
            // A replica may have lost contact with a primary that still answers this monitor.
            if (!replicas.isEmpty()) {
                addProbeWhenDue(replicas.get(mProbeRound % replicas.size()), 0, actions, nowNanos);
            }
        }
    }

    private void addProbeWhenDue(
            ServerId server, long interval, List<GroupMonitorAction> actions, long nowNanos) {
        ProbeTracker tracker = mFailureDetector.probeTracker(server).orElseThrow();
        if (tracker.isProbeDue(interval, nowNanos)) {
            tracker.onProbeSent(nowNanos);
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
            for (InstanceId monitor : mOtherMonitors) {
                actions.add(new GroupMonitorAction.RequestOpinion(monitor, primary.get()));
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
        boolean isOutdated = mCauseStartNanos - mFailureDetector.primaryChangedNanos() < 0;
        if (cause != mCause || isOutdated) {
            mCause = cause;
            mCauseStartNanos = nowNanos;
        }
        boolean isSwitchoverDelayed =
                cause == PrimaryFailureDetector.Cause.LEAVING
                        && mSwitchoverKeptPrimary
                        && nowNanos - mSwitchoverEndNanos
                                < GroupMonitorTiming.SWITCHOVER_RETRY_DELAY_NANOS;
        if (cause != PrimaryFailureDetector.Cause.NONE
                && !isSwitchoverDelayed
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
