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
 * Keeps the view of the instances from the platform's lagging list and from heartbeats.
 *
 * <p>An instance is live from its first listing until it is suspected, so that a restarted instance
 * does not believe itself alone in a large fleet. Addresses come from the list. A suspected
 * instance that stays in the list still gets heartbeats, so that a partition heals; one that left
 * the list is kept while it is heard of.
 *
 * <p>With up to {@value #MAX_SMALL_FLEET_PEERS} instances, silence for {@link
 * #SUSPICION_TIMEOUT_NANOS} is a suspicion. Eight updates a heartbeat cannot refresh a larger fleet
 * in that time, so there the silence must be longer, unless there is evidence: {@value
 * #EVIDENCE_HEARTBEATS} heartbeats to the instance without an answer, such evidence of a peer, or
 * the silence of its whole failure domain.
 *
 * <p>Evidence carries the time at which the instance did not answer, and a sign of life from a
 * later time outranks it wherever it meets it. So a suspicion cannot outlive its cause by being
 * passed on among instances that only adopted it. The age in an update is the age of the sign of
 * life, or 5 s more than the age of the evidence. A missing answer counts only if another instance
 * of the same failure domain was heard of since, so that a partition between domains is no
 * evidence.
 *
 * @since 0.1
 */
public final class MembershipTable {
    /** The time between two rounds of heartbeats. */
    public static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The silence after which an instance is suspected. */
    public static final long SUSPICION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The time for which the shell waits for the answer to a heartbeat. */
    public static final long ANSWER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The number of members that piggybacked updates refresh well within the suspicion time. */
    static final int MAX_SMALL_FLEET_PEERS = 16;

    /** The number of unanswered heartbeats in a row that count as evidence. */
    static final int EVIDENCE_HEARTBEATS = 3;

    private static final long SUSPICION_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(SUSPICION_TIMEOUT_NANOS);

    private static final int MAX_UPDATES = 8;

    /** The incarnation of an instance that was never heard of. */
    private static final long UNKNOWN_INCARNATION = 0;

    /** The age up to which signs of life are passed on when there is no news. */
    private static final long MAX_RELAYED_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Added to a relayed age, so that time in transit cannot make a silent peer look younger. */
    private static final long RELAY_MARGIN_MILLIS = 20;

    /** A gap between two ticks that counts as a pause of this process. */
    private static final long PROCESS_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Member mSelf;
    private long mIncarnation;
    private final UniformRandomProvider mRandom;
    private final Map<InstanceId, PeerRecord> mPeers = new TreeMap<>();

    /** The peers in random order, from which heartbeats draw. */
    private final List<PeerRecord> mShuffled = new ArrayList<>();

    private final GossipQueue mGossipQueue = new GossipQueue();

    /** Whether something was heard that may change the snapshot before the next round. */
    private boolean mSnapshotStale;

    private boolean mLeaving;
    private long mNextRoundNanos;
    private long mLastTickNanos;
    private int mRoundRobinIndex;

    /** When each failure domain was last heard of directly. */
    private final Map<FailureDomain, Long> mDomainContactNanos = new HashMap<>();

    private MembershipSnapshot mSnapshot;

    /**
     * Creates the table of an instance that knows only itself.
     *
     * @param self this instance with its addresses
     * @param incarnation greater than that of any earlier process with the same identifier
     * @param chooseRandomMember chooses the receivers of heartbeats
     */
    public MembershipTable(
            Member self, long incarnation, UniformRandomProvider random, long nowNanos) {
        mSelf = Preconditions.notNull(self, "self");
        mIncarnation = incarnation;
        mRandom = Preconditions.notNull(random, "random");
        mLeaving = self.leaving();
        // Instances that start together would otherwise all ask the same peer at the same time.
        mRoundRobinIndex = random.nextInt(Short.MAX_VALUE);
        mNextRoundNanos = nowNanos;
        mLastTickNanos = nowNanos;
        mSnapshot = new MembershipSnapshot(1, List.of(self));
    }

    /** Takes in the platform's list, in which members appear late and stay too long. */
    public void onPlatformList(List<Member> members, long nowNanos) {
        Set<InstanceId> listed = new HashSet<>();
        for (Member each : members) {
            if (each.id().equals(mSelf.id())) {
                mLeaving |= each.leaving();
                continue;
            }
            listed.add(each.id());
            getOrCreateRecord(each.id(), nowNanos).setMember(each);
        }
        mPeers.entrySet()
                .removeIf(
                        entry ->
                                !listed.contains(entry.getKey())
                                        && entry.getValue().silenceNanos(nowNanos)
                                                >= SUSPICION_TIMEOUT_NANOS);
        mShuffled.removeIf(each -> !mPeers.containsKey(each.id()));
        updateSnapshot(nowNanos);
    }

    /** Takes in a heartbeat, or the answer to one. */
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
        heartbeat.members().forEach(each -> onUpdate(each, nowNanos));
        if (mSnapshotStale) {
            updateSnapshot(nowNanos);
        }
    }

    /** Takes in that a heartbeat could not be sent, or was not answered in time. */
    public void onHeartbeatFailure(InstanceId peer, long nowNanos) {
        PeerRecord record = mPeers.get(peer);
        long sentNanos = nowNanos - ANSWER_TIMEOUT_NANOS;
        if (record == null || !wasDomainContactedSince(record, sentNanos)) {
            return;
        }
        record.countUnanswered(sentNanos);
        // Evidence is renewed for the instances that missed it, as after a partition.
        boolean isEnough =
                record.hasFailureEvidence() || record.unansweredHeartbeats() >= EVIDENCE_HEARTBEATS;
        if (isEnough && record.addFailureEvidence(sentNanos)) {
            enqueueUpdate(record);
        }
    }

    /** Marks this instance as about to stop; it cannot be undone. */
    public void leave(long nowNanos) {
        mLeaving = true;
        updateSnapshot(nowNanos);
    }

    /**
     * Returns the heartbeats that are due: every 500 ms one to a random peer of this failure
     * domain, one to a random peer of another, and one round robin.
     *
     * <p>Only the round-robin heartbeat wants an answer; the shell may want more of them while
     * {@code ConfigurationFreshness.wantsAnswers} says so.
     */
    public List<HeartbeatTarget> tick(long nowNanos) {
        if (nowNanos - mLastTickNanos > PROCESS_PAUSE_NANOS) {
            mPeers.values().forEach(each -> each.restartSilence(nowNanos));
        }
        mLastTickNanos = nowNanos;
        if (nowNanos - mNextRoundNanos < 0) {
            return List.of();
        }
        mNextRoundNanos = nowNanos + HEARTBEAT_INTERVAL_NANOS;
        updateSnapshot(nowNanos);
        return chooseTargets();
    }

    /** Returns the content of a heartbeat of this instance at this time. */
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

    /** Returns the live instances; the same object until something changes. */
    public MembershipSnapshot snapshot() {
        return mSnapshot;
    }

    /** Returns the address of a listed instance, even when it is suspected. */
    public Optional<String> peerAddress(InstanceId instance) {
        PeerRecord record = mPeers.get(instance);
        return record == null || record.member() == null
                ? Optional.empty()
                : Optional.of(record.member().peerAddress());
    }

    /** Returns the failure domains of all listed instances, suspected ones included. */
    public Set<FailureDomain> failureDomains() {
        Set<FailureDomain> domains = new HashSet<>();
        domains.add(mSelf.failureDomain());
        for (PeerRecord each : mPeers.values()) {
            if (each.member() != null) {
                domains.add(each.member().failureDomain());
            }
        }
        return domains;
    }

    /** Returns whether no other instance of this failure domain is listed. */
    public boolean isOnlyInstanceInDomain() {
        return mPeers.values().stream()
                .noneMatch(
                        each ->
                                each.member() != null
                                        && each.member()
                                                .failureDomain()
                                                .equals(mSelf.failureDomain()));
    }

    /**
     * Returns the nanoseconds since an instance was last heard of, directly or through others, or
     * empty when it never was.
     */
    public Optional<Long> silenceNanos(InstanceId instance, long nowNanos) {
        PeerRecord record = mPeers.get(instance);
        return record == null || !record.wasContacted()
                ? Optional.empty()
                : Optional.of(record.silenceNanos(nowNanos));
    }

    /**
     * Takes back the members of a failure domain that was silent as a whole, since hearing of each
     * one again would take long in a large fleet. Those that were suspected while the others were
     * still heard of remain so; those that died meanwhile are suspected anew.
     */
    private void restoreDomain(PeerRecord record, long nowNanos) {
        if (isSmallFleet() || !isDomainSilent(record, nowNanos)) {
            return;
        }
        peersInDomainOf(record)
                .filter(each -> !each.hasFailureEvidence())
                .forEach(each -> each.restartSilence(nowNanos));
        mSnapshotStale = true;
    }

    /**
     * Returns whether an instance of a peer's failure domain was heard of directly after a time.
     * Without it, a missing answer may be due to a lost connection between the domains.
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
                        .allMatch(each -> each.silenceNanos(nowNanos) >= SUSPICION_TIMEOUT_NANOS);
    }

    /** Returns the listed peers of the failure domain of a listed peer. */
    private Stream<PeerRecord> peersInDomainOf(PeerRecord record) {
        FailureDomain domain = record.member().failureDomain();
        return mPeers.values().stream()
                .filter(
                        each ->
                                each.member() != null
                                        && each.member().failureDomain().equals(domain));
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

    /** Takes in that an instance did not answer a peer at a time. */
    private void onSuspicion(
            InstanceId instance, long incarnation, long evidenceNanos, long nowNanos) {
        if (instance.equals(mSelf.id())) {
            // A greater incarnation ends a false suspicion wherever it has spread to.
            mIncarnation = Math.max(mIncarnation, incarnation + 1);
            return;
        }
        PeerRecord record = mPeers.get(instance);
        if (record == null
                || incarnation != UNKNOWN_INCARNATION && incarnation < record.incarnation()) {
            return;
        }
        // Renewed evidence is passed on too, since others may have dropped the earlier one.
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
            // The later sign of life contradicts the suspicion.
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
        // The first sign of life of a listed instance is no news: the list has spread already.
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
                each -> {
                    PeerRecord record = new PeerRecord(instance, nowNanos);
                    mShuffled.add(record);
                    return record;
                });
    }

    private void enqueueUpdate(PeerRecord record) {
        mGossipQueue.add(record, mPeers.size() + 1);
        mSnapshotStale = true;
    }

    /** Rebuilds the snapshot when the set of live instances or one of them has changed. */
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
                        each -> isDomainSilent(record, nowNanos))) {
            return true;
        }
        // With 10 messages of 8 updates a second, about 50 updates on each member are due in this
        // time, so a healthy member is hardly ever missed for so long.
        long scale = isSmallFleet() ? 1 : 2L * mPeers.size() / MAX_SMALL_FLEET_PEERS;
        return silence >= SUSPICION_TIMEOUT_NANOS * scale;
    }

    private List<HeartbeatTarget> chooseTargets() {
        List<Member> own = new ArrayList<>();
        List<Member> other = new ArrayList<>();
        List<Member> all = new ArrayList<>();
        Optional<Member> doubtful = Optional.empty();
        for (PeerRecord each : mPeers.values()) {
            if (each.member() == null) {
                continue;
            }
            all.add(each.member());
            if (!each.hasFailureEvidence()) {
                (each.member().failureDomain().equals(mSelf.failureDomain()) ? own : other)
                        .add(each.member());
                if (each.unansweredHeartbeats() > 0
                        && each.unansweredHeartbeats() < EVIDENCE_HEARTBEATS) {
                    doubtful = Optional.of(each.member());
                }
            }
        }
        if (all.isEmpty()) {
            return List.of();
        }
        Set<Member> chosen = new LinkedHashSet<>();
        // A peer that did not answer is asked again at once, to tell a lost answer from a death.
        mRoundRobinIndex = (mRoundRobinIndex + 1) % all.size();
        chosen.add(doubtful.orElse(all.get(mRoundRobinIndex)));
        chooseRandomMember(own, chosen).ifPresent(chosen::add);
        chooseRandomMember(other, chosen).ifPresent(chosen::add);
        List<HeartbeatTarget> targets = new ArrayList<>();
        for (Member each : chosen) {
            targets.add(new HeartbeatTarget(each.id(), each.peerAddress(), targets.isEmpty()));
        }
        return targets;
    }

    private Optional<Member> chooseRandomMember(List<Member> members, Set<Member> chosen) {
        List<Member> free = members.stream().filter(each -> !chosen.contains(each)).toList();
        return free.isEmpty()
                ? Optional.empty()
                : Optional.of(free.get(mRandom.nextInt(free.size())));
    }

    /** Returns news first, then random members that were heard of lately. */
    private List<MemberUpdate> chooseUpdates(long nowNanos) {
        List<PeerRecord> chosen = mGossipQueue.poll(MAX_UPDATES, nowNanos);
        int news = chosen.size();
        for (int i = 0; i < mShuffled.size() && chosen.size() < MAX_UPDATES; i++) {
            Collections.swap(mShuffled, i, i + mRandom.nextInt(mShuffled.size() - i));
            PeerRecord each = mShuffled.get(i);
            if (each.wasContactedWithin(MAX_RELAYED_AGE_NANOS, nowNanos)
                    && !chosen.subList(0, news).contains(each)) {
                chosen.add(each);
            }
        }
        return chosen.stream().map(each -> toUpdate(each, nowNanos)).toList();
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
