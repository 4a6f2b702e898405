package org.plantainferry.engine.promotion;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.freshness.StoreEpoch;

/**
 * Tracks which replicas of a group may hold acknowledged commits, where commits are acknowledged
 * once replicas have received them.
 *
 * <p>A replica counts from its registration on, and goes on to count when its entry is gone: it may
 * hold a commit that no other server has, and may come back with it. It stops counting once it is
 * proven that as many registered replicas as commits wait for have received everything that the
 * primary had after the entry was gone. What was acknowledged before is then on them, and what is
 * acknowledged later is not on a server that is gone. A replica that became the primary counts as
 * gone, until the others have what it received as a replica.
 *
 * <p>A server that starts again is another replica, as it may have lost its log. Only if no primary
 * has answered any instance since it started can it have received nothing since, so what it has is
 * what it had before. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.6
 */
public final class SynchronousGroup {
    // Entries that expired in an outage of the store are back within this time.
    private static final long GONE_NANOS = TimeUnit.SECONDS.toNanos(2);
    // The servers follow a changed configuration within this time.
    private static final long SETTINGS_NANOS = TimeUnit.SECONDS.toNanos(5);
    // A server that still receives the log of a primary reports another position after this time.
    private static final long STABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Set<ServerLife> mMembers = new HashSet<>();
    private final Map<ServerLife, Long> mGoneSinceNanos = new HashMap<>();
    private final Map<ServerLife, Observation> mReturned = new HashMap<>();
    private Set<ServerLife> mRegistered = Set.of();
    private Optional<ServerLife> mPrimary = Optional.empty();
    private int mConfigured;
    private long mConfiguredSinceNanos;
    private int mGuaranteed = Integer.MAX_VALUE;
    private Optional<ReplicaMembership> mRecord = Optional.empty();
    private StoreEpoch mRecordEpoch = StoreEpoch.UNKNOWN;

    /** Holds the position of a server that has started again, and since when it is so. */
    private record Observation(Optional<LogPosition> received, long sinceNanos) {}

    /**
     * Sets the number of replicas that confirm a commit before it is acknowledged, at least 1.
     *
     * <p>A higher number holds for all commits only once a proof has been made after the change.
     */
    public void onSynchronousReplicas(int synchronousReplicas, long nowNanos) {
        Preconditions.condition(synchronousReplicas > 0, "synchronousReplicas must be positive");
        if (synchronousReplicas != mConfigured) {
            mConfigured = synchronousReplicas;
            mConfiguredSinceNanos = nowNanos;
            mGuaranteed = Math.min(mGuaranteed, synchronousReplicas);
        }
    }

    /** Records the registered servers of the group. */
    public void onServers(
            List<CatalogServer> servers, Optional<CatalogServer> primary, long nowNanos) {
        mPrimary = primary.map(ServerLife::of);
        mRegistered =
                servers.stream()
                        .map(ServerLife::of)
                        .filter(life -> !mPrimary.equals(Optional.of(life)))
                        .collect(Collectors.toSet());
        mReturned.keySet().retainAll(mRegistered);
        for (ServerLife life : mRegistered) {
            boolean hasStartedAgain =
                    !mMembers.contains(life) && mMembers.stream().anyMatch(life::isOtherRunOf);
            if (hasStartedAgain) {
                mReturned.putIfAbsent(life, new Observation(Optional.empty(), nowNanos));
            } else {
                mMembers.add(life);
            }
        }
        updateGone(nowNanos);
    }

    /**
     * Returns whether any server has started again, and no primary is known to have answered since.
     */
    public boolean hasReturned() {
        return !mReturned.isEmpty();
    }

    /** Records that the primary answered, so that servers that started again receive from it. */
    public void onPrimaryAnswered() {
        mMembers.addAll(mReturned.keySet());
        mReturned.clear();
    }

    private void updateGone(long nowNanos) {
        mGoneSinceNanos.keySet().retainAll(mMembers);
        mGoneSinceNanos.keySet().removeAll(mRegistered);
        mMembers.stream()
                .filter(life -> !mRegistered.contains(life))
                .forEach(life -> mGoneSinceNanos.putIfAbsent(life, nowNanos));
    }

    /**
     * Merges the record in the store; empty if there is none.
     *
     * <p>A replica that is missing from a record which had it before was proven to be dispensable
     * by another instance, unless the store was restored from a copy meanwhile. One that has
     * started again and is in the record received from a primary that answered another instance.
     */
    public void onRecord(Optional<ReplicaMembership> record, StoreEpoch epoch, long nowNanos) {
        Set<ServerLife> recorded = record.map(ReplicaMembership::replicas).orElse(Set.of());
        if (epoch.equals(mRecordEpoch)) {
            Set<ServerLife> removed =
                    new HashSet<>(mRecord.map(ReplicaMembership::replicas).orElse(Set.of()));
            removed.removeAll(recorded);
            removed.removeAll(mRegistered);
            mMembers.removeAll(removed);
        }
        mMembers.addAll(recorded);
        mReturned.keySet().removeAll(recorded);
        mRecord = record;
        mRecordEpoch = epoch;
        mGuaranteed =
                record.map(stored -> Math.min(mConfigured, recordedReplicas(stored)))
                        .orElse(Math.min(mGuaranteed, mConfigured));
        updateGone(nowNanos);
    }

    private static int recordedReplicas(ReplicaMembership record) {
        // Another writer may have left an odd number.
        return Math.max(1, record.synchronousReplicas());
    }

    /** Returns what is to be recorded in the store. */
    public ReplicaMembership membership() {
        return new ReplicaMembership(mGuaranteed, mMembers);
    }

    /** Returns whether the store holds another record. */
    public boolean isRecordOutdated() {
        return !mMembers.isEmpty() && !mRecord.equals(Optional.of(membership()));
    }

    /** Returns whether any replica counts only until it is proven to be dispensable. */
    public boolean hasUnproven() {
        return !mGoneSinceNanos.isEmpty() || mGuaranteed < mConfigured;
    }

    /**
     * Returns the replicas that a proof that begins now can make dispensable; empty if none can
     * begin, because no replica has been gone for long enough.
     */
    public Optional<Set<ServerLife>> provable(long nowNanos) {
        Set<ServerLife> gone =
                mGoneSinceNanos.entrySet().stream()
                        .filter(
                                entry ->
                                        mPrimary.equals(Optional.of(entry.getKey()))
                                                || nowNanos - entry.getValue() >= GONE_NANOS)
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        boolean canRaise =
                mGuaranteed < mConfigured && nowNanos - mConfiguredSinceNanos >= SETTINGS_NANOS;
        return gone.isEmpty() && !canRaise ? Optional.empty() : Optional.of(gone);
    }

    /**
     * Applies a proof.
     *
     * @param provable the result of {@link #provable} before the primary was asked
     * @param primaryPosition the position of the primary, asked after that
     * @param states the states of registered replicas, asked after the primary had answered
     */
    public void onProof(
            Set<ServerLife> provable,
            LogPosition primaryPosition,
            Collection<ReplicaState> states) {
        long caughtUp =
                states.stream()
                        .filter(state -> mRegistered.contains(ServerLife.of(state.server())))
                        .filter(state -> state.received().compareTo(primaryPosition) >= 0)
                        .count();
        if (caughtUp < mConfigured) {
            return;
        }
        Set<ServerLife> dispensable = new HashSet<>(provable);
        dispensable.removeAll(mRegistered);
        mMembers.removeAll(dispensable);
        mGoneSinceNanos.keySet().removeAll(dispensable);
        mGuaranteed = mConfigured;
    }

    /** Returns the replicas that may hold commits which none of the states includes. */
    public Set<ServerLife> unanswered(Collection<ReplicaState> states, long nowNanos) {
        Set<ServerLife> unanswered = new HashSet<>(mMembers);
        for (ReplicaState state : states) {
            ServerLife life = ServerLife.of(state.server());
            unanswered.remove(life);
            if (mReturned.containsKey(life) && keptItsLog(life, state.received(), nowNanos)) {
                unanswered.removeIf(life::isOtherRunOf);
            }
        }
        return unanswered;
    }

    /** Returns whether a server that has started again has a log, and receives nothing. */
    private boolean keptItsLog(ServerLife life, LogPosition received, long nowNanos) {
        Observation before = mReturned.get(life);
        if (!before.received().equals(Optional.of(received))) {
            mReturned.put(life, new Observation(Optional.of(received), nowNanos));
            return false;
        }
        return received.position() > 0 && nowNanos - before.sinceNanos() >= STABLE_NANOS;
    }

    /**
     * Selects the replica to promote.
     *
     * @param unanswered the result of {@link #unanswered} for these states
     * @param finalPosition the last position of a primary that has stepped down; empty if unknown
     * @return the replica; empty while a promotion could lose an acknowledged commit
     */
    public Optional<ReplicaState> select(
            Collection<ReplicaState> states,
            Set<ServerLife> unanswered,
            Optional<LogPosition> finalPosition) {
        return CandidateSelector.selectWithAllCommits(
                states, unanswered.size(), mGuaranteed, finalPosition);
    }
}
