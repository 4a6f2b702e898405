package org.plantainferry.gateway.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import org.plantainferry.engine.capacity.WorkTimes;
import org.plantainferry.engine.freshness.PositionSamples;
import org.plantainferry.engine.placement.ReadCandidate;
import org.plantainferry.engine.placement.ReadDemand;
import org.plantainferry.engine.placement.ReadPlacement;
import org.plantainferry.engine.retry.SecondAttemptPolicy;
import org.plantainferry.engine.scheduling.Urgency;

/**
 * Holds the traffic state of one server group: its connection pools, position samples and primary.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class ServerGroup {
    private final Map<String, ServerConnectionPool> mPools = new HashMap<>();
    private final WorkTimes mWorkTimes = new WorkTimes();
    private final PositionSamples mSamples = new PositionSamples();
    private final List<SampleWaiter> mSampleWaiters = new ArrayList<>();
    private boolean mSampling;
    private final long mLeavingPrimaryNanos;
    private final Predicate<String> mMayUseAsPrimary;
    private final SecondAttemptPolicy mSecondAttempts;
    private final LoadMetrics mLoadMetrics;
    private String mPrimary = "";
    private String mPreferredReplica = "";

    /** Holds an action that runs when the sample in progress ends. */
    private record SampleWaiter(Urgency urgency, Runnable action) {}

    /**
     * Creates a group without servers.
     *
     * @param leavingNanos for how long a leaving primary receives new work, in nanoseconds
     * @param mayUseAsPrimary whether a server may currently be used as the primary
     * @param secondAttempts decides what is sent to the servers of the group again
     * @param loadMetrics receives the waits and refusals of statements
     */
    ServerGroup(
            long leavingNanos,
            Predicate<String> mayUseAsPrimary,
            SecondAttemptPolicy secondAttempts,
            LoadMetrics loadMetrics) {
        mLeavingPrimaryNanos = leavingNanos;
        mMayUseAsPrimary = mayUseAsPrimary;
        mSecondAttempts = secondAttempts;
        mLoadMetrics = loadMetrics;
    }

    LoadMetrics loadMetrics() {
        return mLoadMetrics;
    }

    SecondAttemptPolicy secondAttempts() {
        return mSecondAttempts;
    }

    PositionSamples samples() {
        return mSamples;
    }

    /** Returns the times for kinds of work that all servers of the group share. */
    WorkTimes workTimes() {
        return mWorkTimes;
    }

    Map<String, ServerConnectionPool> pools() {
        return mPools;
    }

    private Collection<ReadCandidate> candidates(String workspace) {
        return mPools.values().stream()
                .filter(pool -> !pool.isEvacuated())
                .map(pool -> candidate(pool, workspace))
                .toList();
    }

    private ReadCandidate candidate(ServerConnectionPool pool, String workspace) {
        String id = pool.server().id();
        return new ReadCandidate(
                pool.server(),
                pool.health(),
                pool.room(),
                id.equals(mPrimary),
                id.equals(mPreferredReplica),
                pool.waiters(),
                pool.availability(workspace));
    }

    void setPreferredReplica(Optional<String> server) {
        mPreferredReplica = server.orElse("");
    }

    Optional<ServerConnectionPool> chooseForRead(
            ReadPlacement placement, String workspace, ReadDemand demand, long nowNanos) {
        double random = ThreadLocalRandom.current().nextDouble();
        return placement
                .choose(candidates(workspace), demand, random, nowNanos)
                .map(candidate -> mPools.get(candidate.server().id()));
    }

    /**
     * Returns the primary that the control plane has published, unless it may be replaced, has
     * since refused a statement as a replica, or has been leaving for so long that it may stop at
     * any time.
     */
    Optional<ServerConnectionPool> usablePrimary(long nowNanos) {
        return Optional.ofNullable(mPools.get(mPrimary))
                .filter(pool -> mMayUseAsPrimary.test(mPrimary))
                .filter(ServerConnectionPool::acceptsStatements)
                .filter(pool -> !pool.health().isDemoted(nowNanos))
                .filter(pool -> !pool.wasLeavingAt(nowNanos - mLeavingPrimaryNanos));
    }

    /** Returns whether nothing may be sent to the primary, because its domain is evacuated. */
    boolean isPrimaryEvacuated() {
        return Optional.ofNullable(mPools.get(mPrimary))
                .filter(pool -> !pool.acceptsStatements())
                .isPresent();
    }

    /** Returns whether the failure domains of all servers are evacuated. */
    boolean isWhollyEvacuated() {
        return !mPools.isEmpty()
                && mPools.values().stream().allMatch(ServerConnectionPool::isEvacuated);
    }

    /**
     * Returns whether the instances outnumber the connections of the primary, so that they share
     * its sampled positions.
     */
    boolean sharesPositions(long nowNanos) {
        return usablePrimary(nowNanos)
                .filter(ServerConnectionPool::hasScarceConnections)
                .isPresent();
    }

    void setPrimary(Optional<String> server) {
        mPrimary = server.orElse("");
    }

    /**
     * Registers an action to run when the sample in progress ends, the most urgent first. Returns
     * false, without registering it, when no sample is in progress.
     */
    boolean awaitRunningSample(Urgency urgency, Runnable action) {
        if (!mSampling) {
            return false;
        }
        mSampleWaiters.add(new SampleWaiter(urgency, action));
        return true;
    }

    void beginSample() {
        mSampling = true;
    }

    void endSample(long nowNanos) {
        mSampling = false;
        List<SampleWaiter> waiters = new ArrayList<>(mSampleWaiters);
        mSampleWaiters.clear();
        waiters.sort(
                Comparator.comparing(SampleWaiter::urgency, Urgency.mostUrgentFirst(nowNanos)));
        waiters.forEach(waiter -> waiter.action().run());
    }
}
