package org.plantainferry.engine.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Tracks the live instances, based on the platform's delayed list and on heartbeats.
 *
 * <p>An instance is live from its first listing until it is suspected, so that a restarted instance
 * does not consider itself the only one in a large fleet. Addresses come from the list. A suspected
 * instance that is still listed continues to receive heartbeats, so that the membership recovers
 * after a partition. An instance that is no longer listed is kept while there is contact with it.
 *
 * <p>With up to {@value #MAX_SMALL_FLEET_PEERS} peers, an instance that is silent for {@link
 * #SUSPICION_TIMEOUT_NANOS} is suspected. Eight updates per heartbeat cannot refresh a larger fleet
 * in that time, so a larger fleet requires a longer silence, unless there is failure evidence:
 * {@value #EVIDENCE_HEARTBEATS} consecutive unanswered heartbeats to the instance, such evidence
 * reported by a peer, or the silence of the instance's whole failure domain.
 *
 * <p>Failure evidence carries the time at which the instance did not answer, and any later contact
 * refutes it on every instance that learns of both. A suspicion therefore cannot outlive its cause
 * by being relayed among instances that did not observe the failure themselves. The age in an
 * update is the age of the contact, or the age of the evidence plus 5 s. A missing answer counts
 * only if there was contact with an instance of the same failure domain since, so that a partition
 * between domains is not evidence.
 *
 * @since 0.1
 */
public final class MembershipTable {
    /** The interval between two rounds of heartbeats. */
    public static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The least silence after which an instance is suspected. */
    public static final long SUSPICION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** How long the caller waits for the answer to a heartbeat. */
    public static final long ANSWER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The number of peers that piggybacked updates refresh well within the suspicion timeout. */
    static final int MAX_SMALL_FLEET_PEERS = 16;

    /** The number of consecutive unanswered heartbeats that count as failure evidence. */
    static final int EVIDENCE_HEARTBEATS = 3;

    private static final long SUSPICION_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(SUSPICION_TIMEOUT_NANOS);

    private static final int MAX_UPDATES = 8;

    /** The incarnation of an instance that has never been contacted. */
    private static final long UNKNOWN_INCARNATION = 0;

    /** The age up to which contacts are relayed when no changes are queued. */
    private static final long MAX_RELAYED_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Added to a relayed age, because time in transit would make a contact appear more recent. */
    private static final long RELAY_MARGIN_MILLIS = 20;

    /** A longer gap between two ticks means that this process was paused. */
    private static final long PROCESS_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Member mSelf;
    private long mIncarnation;
    private final UniformRandomProvider mRandom;
    private final Map<InstanceId, PeerRecord> mPeers = new TreeMap<>();

    /** The peers in random order, from which the updates in heartbeats are chosen. */
    private final List<PeerRecord> mShuffled = new ArrayList<>();

    private final GossipQueue mGossipQueue = new GossipQueue();

    /** Whether the snapshot may have to change before the next round. */
    private boolean mSnapshotStale;

    private boolean mLeaving;
    private long mNextRoundNanos;
    private long mLastTickNanos;
    private int mRoundRobinIndex;

    /** The time of the latest direct contact with each failure domain. */
    private final Map<FailureDomain, Long> mDomainContactNanos = new HashMap<>();

    private MembershipSnapshot mSnapshot;

    /**
     * Creates the table of an instance that knows only itself.
     *
     * @param self this instance, including its addresses
     * @param incarnation greater than that of any earlier process with the same identifier
     * @param random chooses the receivers and updates of heartbeats
     */
    public MembershipTable(
            Member self, long incarnation, UniformRandomProvider random, long nowNanos) {
        mSelf = Preconditions.notNull(self, "self");
        mIncarnation = incarnation;
        mRandom = Preconditions.notNull(random, "random");
        mLeaving = self.leaving();
        // Without a random start, instances that start together would all contact the same peer.
        mRoundRobinIndex = random.nextInt(Short.MAX_VALUE);
        mNextRoundNanos = nowNanos;
        mLastTickNanos = nowNanos;
        mSnapshot = new MembershipSnapshot(1, List.of(self));
    }

    /**
     * Applies the platform's list, in which members appear late and remain after they have stopped.
     */
    public void onPlatformList(List<Member> members, long nowNanos) {
        Set<InstanceId> listed = new HashSet<>();
        for (Member member : members) {
            if (member.id().equals(mSelf.id())) {
                mLeaving |= member.leaving();
                continue;
            }
            listed.add(member.id());
            getOrCreateRecord(member.id(), nowNanos).setMember(member);
        }
        mPeers.entrySet()
                .removeIf(
                        entry ->
                                !listed.contains(entry.getKey())
                                        && entry.getValue().silenceNanos(nowNanos)
                                                >= SUSPICION_TIMEOUT_NANOS);
        mShuffled.removeIf(peer -> !mPeers.containsKey(peer.id()));
        updateSnapshot(nowNanos);
    }

    /** Applies a heartbeat or an answer to a heartbeat. */
    public void onHeartbeat(HeartbeatContent heartbeat, long nowNanos) {
        if (heartbeat.instance().equals(mSelf.id())) {
            return;
        }
        mDomainContactNanos.put(heartbeat.failureDomain(), nowNanos);
        recordContact(
                heartbeat.instance(),
                heartbeat.incarnation(),
                heartbeat.leaving(),
                nowNanos,
                nowNanos);
        heartbeat.members().forEach(update -> onUpdate(update, nowNanos));
        if (mSnapshotStale) {
            updateSnapshot(nowNanos);
        }
    }

    /** Records that a heartbeat could not be sent or was not answered in time. */
    public void onHeartbeatFailure(InstanceId peer, long nowNanos) {
        PeerRecord record = mPeers.get(peer);
        long sentNanos = nowNanos - ANSWER_TIMEOUT_NANOS;
        if (record == null || !wasDomainContactedSince(record, sentNanos)) {
            return;
        }
        record.countUnanswered(sentNanos);
        // Renews the evidence for instances that missed it, for example during a partition.
        boolean isEnough =
                record.hasFailureEvidence() || record.unansweredHeartbeats() >= EVIDENCE_HEARTBEATS;
        if (isEnough && record.addFailureEvidence(sentNanos)) {
            enqueueUpdate(record);
        }
    }

    /** Marks this instance as leaving; the mark cannot be removed. */
    public void leave(long nowNanos) {
        mLeaving = true;
        updateSnapshot(nowNanos);
    }

    /**
     * Returns the heartbeats that are due: every 500 ms one to a random peer of this failure
     * domain, one to a random peer of another domain, and one to the next peer in round-robin
     * order.
     *
     * <p>Only the round-robin heartbeat requests an answer; the caller requests an answer to all
     * heartbeats while {@code ConfigurationFreshness.needsHeartbeatAnswers} returns true.
     */
    public List<HeartbeatTarget> tick(long nowNanos) {
        if (nowNanos - mLastTickNanos > PROCESS_PAUSE_NANOS) {
            mPeers.values().forEach(peer -> peer.restartSilence(nowNanos));
        }
        mLastTickNanos = nowNanos;
        if (nowNanos - mNextRoundNanos < 0) {
            return List.of();
        }
        mNextRoundNanos = nowNanos + HEARTBEAT_INTERVAL_NANOS;
        updateSnapshot(nowNanos);
        return chooseTargets();
    }

    /** Returns the content of a heartbeat that this instance sends now. */
    public HeartbeatContent heartbeat(LocalStatus status, boolean answerWanted, long nowNanos) {
        return new HeartbeatContent(
                mSelf.id(),
                mIncarnation,
                mSelf.failureDomain(),
                mLeaving,
                status,
                chooseUpdates(nowNanos),
                answerWanted);
    }

    /** Returns the live instances; the same object until one of them changes. */
    public MembershipSnapshot snapshot() {
        return mSnapshot;
    }

    /** Returns the peer address of a listed instance, even if it is suspected. */
    public Optional<String> peerAddress(InstanceId instance) {
        PeerRecord record = mPeers.get(instance);
        return record == null || record.member() == null
                ? Optional.empty()
                : Optional.of(record.member().peerAddress());
    }

    /** Returns the failure domains of all listed instances, including suspected ones. */
    public Set<FailureDomain> failureDomains() {
        Set<FailureDomain> domains = new HashSet<>();
        domains.add(mSelf.failureDomain());
        for (PeerRecord peer : mPeers.values()) {
            if (peer.member() != null) {
                domains.add(peer.member().failureDomain());
            }
        }
        return domains;
    }

    /** Returns whether no other instance of this failure domain is listed. */
    public boolean isOnlyInstanceInDomain() {
        return mPeers.values().stream()
                .noneMatch(
                        peer ->
                                peer.member() != null
                                        && peer.member()
                                                .failureDomain()
                                                .equals(mSelf.failureDomain()));
    }

    /**
     * Returns the nanoseconds since the latest direct or relayed contact with an instance; empty
     * when there was none.
     */
    public Optional<Long> silenceNanos(InstanceId instance, long nowNanos) {
        PeerRecord record = mPeers.get(instance);
        return record == null || !record.wasContacted()
                ? Optional.empty()
                : Optional.of(record.silenceNanos(nowNanos));
    }

    /**
     * Restores the members of a failure domain that was silent as a whole, because contacting each
     * one again would take long in a large fleet. Members with failure evidence remain suspected;
     * members that failed in the meantime become suspected again.
     */
    private void restoreDomain(PeerRecord record, long nowNanos) {
        if (isSmallFleet() || !isDomainSilent(record, nowNanos)) {
            return;
        }
        peersInDomainOf(record)
                .filter(peer -> !peer.hasFailureEvidence())
                .forEach(peer -> peer.restartSilence(nowNanos));
        mSnapshotStale = true;
    }

    /**
     * Returns whether there was direct contact with the peer's failure domain after the given time.
     * Without such contact, a partition between the domains may have caused the missing answer.
     */
    private boolean wasDomainContactedSince(PeerRecord record, long sinceNanos) {
        return record.member() != null
                && mDomainContactNanos.containsKey(record.member().failureDomain())
                && mDomainContactNanos.get(record.member().failureDomain()) - sinceNanos > 0;
    }

    private boolean isDomainSilent(PeerRecord record, long nowNanos) {
        return record.member() != null
                && record.silenceNanos(nowNanos) >= SUSPICION_TIMEOUT_NANOS
                && peersInDomainOf(record)
                        .allMatch(peer -> peer.silenceNanos(nowNanos) >= SUSPICION_TIMEOUT_NANOS);
    }

    /** Returns the listed peers in the failure domain of a listed peer. */
    private Stream<PeerRecord> peersInDomainOf(PeerRecord record) {
        FailureDomain domain = record.member().failureDomain();
        return mPeers.values().stream()
                .filter(
                        peer ->
                                peer.member() != null
                                        && peer.member().failureDomain().equals(domain));
    }

    private void onUpdate(MemberUpdate update, long nowNanos) {
        InstanceId instance = update.instance();
        long age = TimeUnit.MILLISECONDS.toNanos(update.heardAgeMillis() + RELAY_MARGIN_MILLIS);
        if (update.heardAgeMillis() >= SUSPICION_MILLIS) {
            long evidenceNanos = nowNanos - (age - SUSPICION_TIMEOUT_NANOS);
            if (nowNanos - evidenceNanos <= GossipQueue.MAX_EVIDENCE_AGE_NANOS) {
                onSuspicion(instance, update.incarnation(), evidenceNanos, nowNanos);
            }
        } else if (!instance.equals(mSelf.id())) {
            recordContact(
                    instance, update.incarnation(), update.leaving(), nowNanos - age, nowNanos);
        }
    }

    /** Applies a peer's report that an instance did not answer at the given time. */
    private void onSuspicion(
            InstanceId instance, long incarnation, long evidenceNanos, long nowNanos) {
        if (instance.equals(mSelf.id())) {
            // A greater incarnation refutes the false suspicion on every instance that holds it.
            mIncarnation = Math.max(mIncarnation, incarnation + 1);
            return;
        }
        PeerRecord record = mPeers.get(instance);
        if (record == null
                || incarnation != UNKNOWN_INCARNATION && incarnation < record.incarnation()) {
            return;
        }
        // Renewed evidence is relayed too, because others may have dropped the earlier one.
        boolean isNew =
                !record.hasFailureEvidence()
                        || record.failureEvidenceAgeNanos(nowNanos)
                                > GossipQueue.MAX_EVIDENCE_AGE_NANOS;
        if (record.addFailureEvidence(evidenceNanos)) {
            if (isNew) {
                enqueueUpdate(record);
            }
        } else if (isNew
                && record.wasContactedWithin(GossipQueue.MAX_CONTACT_AGE_NANOS, nowNanos)) {
            // The later contact refutes the suspicion.
            enqueueUpdate(record);
        }
    }

    private void recordContact(
            InstanceId instance, long incarnation, boolean leaving, long atNanos, long nowNanos) {
        PeerRecord record = getOrCreateRecord(instance, nowNanos);
        restoreDomain(record, nowNanos);
        long oldIncarnation = record.incarnation();
        boolean oldLeaving = record.leaving();
        boolean wasSuspect = record.hasFailureEvidence();
        // The first contact with a listed instance is not relayed: all instances have the list.
        boolean wasKnown = record.wasContacted() || record.member() == null;
        record.recordContact(incarnation, leaving, atNanos);
        if (wasKnown && oldIncarnation != record.incarnation()
                || oldLeaving != record.leaving()
                || wasSuspect && !record.hasFailureEvidence()) {
            enqueueUpdate(record);
        }
    }

    private PeerRecord getOrCreateRecord(InstanceId instance, long nowNanos) {
        return mPeers.computeIfAbsent(
                instance,
                id -> {
                    PeerRecord record = new PeerRecord(instance, nowNanos);
                    mShuffled.add(record);
                    return record;
                });
    }

    private void enqueueUpdate(PeerRecord record) {
        mGossipQueue.add(record, mPeers.size() + 1);
        mSnapshotStale = true;
    }

    /** Replaces the snapshot if the set of live instances or one of them has changed. */
    private void updateSnapshot(long nowNanos) {
        mSnapshotStale = false;
        Map<FailureDomain, Boolean> silentDomains = new HashMap<>();
        List<Member> live = new ArrayList<>(mPeers.size() + 1);
        Member self = mSelf.withLeaving(mLeaving);
        boolean hasSelf = false;
        for (Map.Entry<InstanceId, PeerRecord> entry : mPeers.entrySet()) {
            if (!hasSelf && entry.getKey().compareTo(mSelf.id()) > 0) {
                live.add(self);
                hasSelf = true;
            }
            PeerRecord record = entry.getValue();
            if (record.member() != null && !isSuspect(record, silentDomains, nowNanos)) {
                live.add(record.member().withLeaving(record.leaving()));
            }
        }
        if (!hasSelf) {
            live.add(self);
        }
        if (!live.equals(mSnapshot.members())) {
            mSnapshot = new MembershipSnapshot(mSnapshot.version() + 1, live);
        }
    }

    private boolean isSmallFleet() {
        return mPeers.size() <= MAX_SMALL_FLEET_PEERS;
    }

    private boolean isSuspect(
            PeerRecord record, Map<FailureDomain, Boolean> silentDomains, long nowNanos) {
        long silence = record.silenceNanos(nowNanos);
        if (silence < SUSPICION_TIMEOUT_NANOS) {
            return false;
        }
        if (record.hasFailureEvidence()) {
            return true;
        }
        if (record.member() != null
                && silentDomains.computeIfAbsent(
                        record.member().failureDomain(),
                        domain -> isDomainSilent(record, nowNanos))) {
            return true;
        }
        // With 10 messages of 8 updates a second, about 50 updates on each member are expected in
        // this time, so a healthy member is very unlikely to appear silent for so long.
        long scale = isSmallFleet() ? 1 : 2L * mPeers.size() / MAX_SMALL_FLEET_PEERS;
        return silence >= SUSPICION_TIMEOUT_NANOS * scale;
    }

    private List<HeartbeatTarget> chooseTargets() {
        List<Member> ownDomain = new ArrayList<>();
        List<Member> otherDomains = new ArrayList<>();
        List<Member> all = new ArrayList<>();
        Optional<Member> unanswering = Optional.empty();
        for (PeerRecord peer : mPeers.values()) {
            if (peer.member() == null) {
                continue;
            }
            all.add(peer.member());
            if (!peer.hasFailureEvidence()) {
                (peer.member().failureDomain().equals(mSelf.failureDomain())
                                ? ownDomain
                                : otherDomains)
                        .add(peer.member());
                if (peer.unansweredHeartbeats() > 0
                        && peer.unansweredHeartbeats() < EVIDENCE_HEARTBEATS) {
                    unanswering = Optional.of(peer.member());
                }
            }
        }
        if (all.isEmpty()) {
            return List.of();
        }
        Set<Member> chosen = new LinkedHashSet<>();
        // Contacting an unanswering peer again tells a lost answer from a failed instance.
        mRoundRobinIndex = (mRoundRobinIndex + 1) % all.size();
        chosen.add(unanswering.orElse(all.get(mRoundRobinIndex)));
        chooseRandomMember(ownDomain, chosen).ifPresent(chosen::add);
        chooseRandomMember(otherDomains, chosen).ifPresent(chosen::add);
        List<HeartbeatTarget> targets = new ArrayList<>();
        for (Member member : chosen) {
            targets.add(new HeartbeatTarget(member.id(), member.peerAddress(), targets.isEmpty()));
        }
        return targets;
    }

    private Optional<Member> chooseRandomMember(List<Member> members, Set<Member> chosen) {
        List<Member> candidates =
                members.stream().filter(member -> !chosen.contains(member)).toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    /** Returns queued changes first, then updates about random members with recent contact. */
    private List<MemberUpdate> chooseUpdates(long nowNanos) {
        List<PeerRecord> chosen = mGossipQueue.poll(MAX_UPDATES, nowNanos);
        int changes = chosen.size();
        for (int i = 0; i < mShuffled.size() && chosen.size() < MAX_UPDATES; i++) {
            Collections.swap(mShuffled, i, i + mRandom.nextInt(mShuffled.size() - i));
            PeerRecord peer = mShuffled.get(i);
            if (peer.wasContactedWithin(MAX_RELAYED_AGE_NANOS, nowNanos)
                    && !chosen.subList(0, changes).contains(peer)) {
                chosen.add(peer);
            }
        }
        return chosen.stream().map(peer -> toUpdate(peer, nowNanos)).toList();
    }

    private static MemberUpdate toUpdate(PeerRecord record, long nowNanos) {
        long age =
                TimeUnit.NANOSECONDS.toMillis(
                        record.hasFailureEvidence()
                                ? SUSPICION_TIMEOUT_NANOS + record.failureEvidenceAgeNanos(nowNanos)
                                : record.contactAgeNanos(nowNanos));
        return new MemberUpdate(record.id(), record.incarnation(), age, record.leaving());
    }
}
