package org.plantainferry.gateway.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.freshness.PositionSamples;
import org.plantainferry.engine.placement.ReadCandidate;
import org.plantainferry.engine.placement.ReadPlacement;

/**
 * Holds what traffic knows of one group: its connections, its positions and its primary.
 *
 * <p>Used by the traffic thread only.
 */
final class ServerGroup {
    private final Map<String, ServerConnectionPool> mPools = new HashMap<>();
    private final PositionSamples mSamples = new PositionSamples();
    private final List<Runnable> mSampleWaiters = new ArrayList<>();
    private boolean mSampling;
    private final long mLeavingPrimaryNanos;
    private final Predicate<String> mMayUseAsPrimary;
    private String mPrimary = "";
    private String mPreferredReplica = "";

    /**
     * Creates a group without servers.
     *
     * @param leavingNanos for how long a leaving primary takes new work
     * @param mayLead whether a server may be used as the primary now
     */
    ServerGroup(long leavingNanos, Predicate<String> mayLead) {
        mLeavingPrimaryNanos = leavingNanos;
        mMayUseAsPrimary = mayLead;
    }

    PositionSamples samples() {
        return mSamples;
    }

    Map<String, ServerConnectionPool> pools() {
        return mPools;
    }

    private Collection<ReadCandidate> candidates(String workspace) {
        return mPools.values().stream().map(pool -> candidate(pool, workspace)).toList();
    }

    private ReadCandidate candidate(ServerConnectionPool pool, String workspace) {
        String id = pool.server().id();
        return new ReadCandidate(
                pool.server(),
                pool.health(),
                id.equals(mPrimary),
                id.equals(mPreferredReplica),
                pool.waiters(),
                pool.availability(workspace));
    }

    void setPreferredReplica(Optional<String> server) {
        mPreferredReplica = server.orElse("");
    }

    Optional<ServerConnectionPool> chooseForRead(
            ReadPlacement placement,
            String workspace,
            Optional<LogPosition> required,
            Set<String> excluded,
            long nowNanos) {
        return placement
                .choose(candidates(workspace), required, excluded, nowNanos)
                .map(candidate -> mPools.get(candidate.server().id()));
    }

    /**
     * Returns the primary that control knows, unless it may be replaced, refused as a replica since
     * or has been leaving for so long that it may end at any time.
     */
    Optional<ServerConnectionPool> usablePrimary(long nowNanos) {
        return Optional.ofNullable(mPools.get(mPrimary))
                .filter(pool -> mMayUseAsPrimary.test(mPrimary))
                .filter(pool -> !pool.health().isDemoted(nowNanos))
                .filter(pool -> !pool.wasLeavingAt(nowNanos - mLeavingPrimaryNanos));
    }

    /** Returns whether instances outnumber the connections of the primary, so that they share. */
    boolean sharesPositions(long nowNanos) {
        return usablePrimary(nowNanos)
                .filter(ServerConnectionPool::hasScarceConnections)
                .isPresent();
    }

    void setPrimary(Optional<String> server) {
        mPrimary = server.orElse("");
    }

    /** Runs an action when the sample that is being taken is there; false when none is taken. */
    boolean awaitRunningSample(Runnable action) {
        if (!mSampling) {
            return false;
        }
        mSampleWaiters.add(action);
        return true;
    }

    void beginSample() {
        mSampling = true;
    }

    void endSample() {
        mSampling = false;
        List<Runnable> waiters = List.copyOf(mSampleWaiters);
        mSampleWaiters.clear();
        waiters.forEach(Runnable::run);
    }
}
