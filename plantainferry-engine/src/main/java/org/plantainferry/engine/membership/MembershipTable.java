package org.plantainferry.engine.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
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
 * <p>With up to {@value #REFRESHED_MEMBERS} instances, silence for {@link #SUSPICION_NANOS} is a
 * suspicion. Eight updates a heartbeat cannot refresh a larger fleet in that time, so there the
 * silence must be longer, unless there is evidence: {@value #EVIDENCE} heartbeats to the instance
 * without an answer, a suspicion reported by a peer, or the silence of its whole failure domain.
 *
 * @since 0.1
 */
public final class MembershipTable {
    /** The time between two rounds of heartbeats. */
    public static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The silence after which an instance is suspected. */
    public static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The time for which the shell waits for the answer to a heartbeat. */
    public static final long ANSWER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The number of members that piggybacked updates refresh well within the suspicion time. */
    static final int REFRESHED_MEMBERS = 16;

    /** The number of unanswered heartbeats in a row that count as evidence. */
    static final int EVIDENCE = 3;

    private static final int MAX_UPDATES = 8;
    private static final long RELAYED_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Added to a relayed age, so that time in transit cannot make a silent peer look younger. */
    private static final long RELAY_MARGIN_MILLIS = 20;

    /** A gap between two ticks that counts as a pause of this process. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Member mSelf;
    private final long mIncarnation;
    private final UniformRandomProvider mRandom;
    private final Map<InstanceId, PeerRecord> mPeers = new TreeMap<>();

    /** Instances with news, and how many more times to pass each on. */
    private final Map<InstanceId, Integer> mNews = new LinkedHashMap<>();

    /** Whether something was heard that may change the snapshot before the next round. */
    private boolean mChanged;

    private boolean mLeaving;
    private long mNextRoundNanos;
    private long mLastTickNanos;
    private int mRoundRobin;
    private MembershipSnapshot mSnapshot;

    /**
     * Creates the table of an instance that knows only itself.
     *
     * @param self this instance with its addresses
     * @param incarnation greater than that of any earlier process with the same identifier
     * @param random chooses the receivers of heartbeats
     */
    public MembershipTable(
            Member self, long incarnation, UniformRandomProvider random, long nowNanos) {
        mSelf = Preconditions.notNull(self, "self");
        mIncarnation = incarnation;
        mRandom = Preconditions.notNull(random, "random");
        mLeaving = self.leaving();
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
            record(each.id(), nowNanos).list(each);
        }
        mPeers.entrySet()
                .removeIf(
                        entry ->
                                !listed.contains(entry.getKey())
                                        && entry.getValue().silence(nowNanos) >= SUSPICION_NANOS);
        refresh(nowNanos);
    }

    /** Takes in a heartbeat, or the answer to one. */
    public void onHeartbeat(HeartbeatView heartbeat, long nowNanos) {
        if (heartbeat.instance().equals(mSelf.id())) {
            return;
        }
        hear(
                heartbeat.instance(),
                heartbeat.incarnation(),
                heartbeat.leaving(),
                nowNanos,
                nowNanos);
        for (MemberUpdate update : heartbeat.members()) {
            if (!update.instance().equals(mSelf.id())) {
                onUpdate(update, nowNanos);
            }
        }
        if (mChanged) {
            refresh(nowNanos);
        }
    }

    /** Takes in that a heartbeat could not be sent, or was not answered in time. */
    public void onHeartbeatFailure(InstanceId peer, long nowNanos) {
        PeerRecord record = mPeers.get(peer);
        if (record != null) {
            record.countUnanswered();
        }
    }

    /** Marks this instance as about to stop; it cannot be undone. */
    public void leave(long nowNanos) {
        mLeaving = true;
        refresh(nowNanos);
    }

    /**
     * Returns the heartbeats that are due: every 500 ms one to a random peer of this failure
     * domain, one to a random peer of another, and one round robin.
     *
     * <p>Only the round-robin heartbeat wants an answer; the shell may want more of them while
     * {@code ConfigurationFreshness.wantsAnswers} says so.
     */
    public List<HeartbeatTarget> tick(long nowNanos) {
        if (nowNanos - mLastTickNanos > PAUSE_NANOS) {
            mPeers.values().forEach(each -> each.restartSilence(nowNanos));
        }
        mLastTickNanos = nowNanos;
        if (nowNanos - mNextRoundNanos < 0) {
            return List.of();
        }
        mNextRoundNanos = nowNanos + HEARTBEAT_NANOS;
        refresh(nowNanos);
        return targets();
    }

    /** Returns the content of a heartbeat of this instance at this time. */
    public HeartbeatView heartbeat(LocalStatus status, boolean answerWanted, long nowNanos) {
        return new HeartbeatView(
                mSelf.id(),
                mIncarnation,
                mSelf.failureDomain(),
                mLeaving,
                status,
                updates(nowNanos),
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
    public boolean isAloneInDomain() {
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
        return record == null || !record.isHeard()
                ? Optional.empty()
                : Optional.of(record.silence(nowNanos));
    }

    private void onUpdate(MemberUpdate update, long nowNanos) {
        long age = TimeUnit.MILLISECONDS.toNanos(update.heardAgeMillis() + RELAY_MARGIN_MILLIS);
        PeerRecord record = mPeers.get(update.instance());
        if (age < SUSPICION_NANOS) {
            hear(
                    update.instance(),
                    update.incarnation(),
                    update.leaving(),
                    nowNanos - age,
                    nowNanos);
        } else if (record != null && update.incarnation() >= record.incarnation()) {
            boolean isSilent = record.silence(nowNanos) >= SUSPICION_NANOS;
            // Either this instance passes the suspicion on, or it contradicts it.
            if (!isSilent || !record.reportedSuspect()) {
                announce(update.instance());
            }
            record.reportedSuspect(isSilent);
        }
    }

    private void hear(
            InstanceId instance, long incarnation, boolean leaving, long atNanos, long nowNanos) {
        PeerRecord record = record(instance, nowNanos);
        long oldIncarnation = record.incarnation();
        boolean oldLeaving = record.leaving();
        if (record.hear(incarnation, leaving, atNanos)) {
            if (record.reportedSuspect() && record.silence(nowNanos) < SUSPICION_NANOS) {
                record.reportedSuspect(false);
                announce(instance);
            }
        }
        if (oldIncarnation != record.incarnation() || oldLeaving != record.leaving()) {
            announce(instance);
        }
    }

    private PeerRecord record(InstanceId instance, long nowNanos) {
        return mPeers.computeIfAbsent(instance, each -> new PeerRecord(nowNanos));
    }

    private void announce(InstanceId instance) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(mPeers.size() + 1);
        mNews.put(instance, 2 * bits);
        mChanged = true;
    }

    /** Rebuilds the snapshot when the set of live instances or one of them has changed. */
    private void refresh(long nowNanos) {
        mChanged = false;
        Map<FailureDomain, Long> domainSilence = domainSilence(nowNanos);
        Map<InstanceId, Member> live = new TreeMap<>();
        live.put(mSelf.id(), mSelf.withLeaving(mLeaving));
        for (Map.Entry<InstanceId, PeerRecord> entry : mPeers.entrySet()) {
            PeerRecord record = entry.getValue();
            boolean suspect = isSuspect(record, domainSilence, nowNanos);
            // In a large fleet, silence alone may only mean that no update came this way.
            boolean isSure = isSmall() || record.unanswered() >= EVIDENCE;
            if (suspect && isSure && !record.reportedSuspect()) {
                record.reportedSuspect(true);
                announce(entry.getKey());
            }
            if (!suspect && record.member() != null) {
                live.put(entry.getKey(), record.member().withLeaving(record.leaving()));
            }
        }
        List<Member> members = new ArrayList<>(live.values());
        if (!members.equals(mSnapshot.members())) {
            mSnapshot = new MembershipSnapshot(mSnapshot.version() + 1, members);
        }
    }

    private boolean isSmall() {
        return mPeers.size() <= REFRESHED_MEMBERS;
    }

    private boolean isSuspect(
            PeerRecord record, Map<FailureDomain, Long> domainSilence, long nowNanos) {
        long silence = record.silence(nowNanos);
        if (silence < SUSPICION_NANOS) {
            return false;
        }
        if (record.reportedSuspect() || record.unanswered() >= EVIDENCE) {
            return true;
        }
        if (record.member() != null
                && domainSilence.getOrDefault(record.member().failureDomain(), 0L)
                        >= SUSPICION_NANOS) {
            return true;
        }
        // With 10 messages of 8 updates a second, about 50 updates on each member are due in this
        // time, so a healthy member is hardly ever missed for so long.
        long scale = isSmall() ? 1 : 2L * mPeers.size() / REFRESHED_MEMBERS;
        return silence >= SUSPICION_NANOS * scale;
    }

    /** Returns the shortest silence in each failure domain. */
    private Map<FailureDomain, Long> domainSilence(long nowNanos) {
        Map<FailureDomain, Long> silence = new HashMap<>();
        for (PeerRecord each : mPeers.values()) {
            if (each.member() != null) {
                silence.merge(each.member().failureDomain(), each.silence(nowNanos), Math::min);
            }
        }
        return silence;
    }

    private List<HeartbeatTarget> targets() {
        List<Member> own = new ArrayList<>();
        List<Member> other = new ArrayList<>();
        List<Member> all = new ArrayList<>();
        Optional<Member> doubtful = Optional.empty();
        for (PeerRecord each : mPeers.values()) {
            if (each.member() == null) {
                continue;
            }
            all.add(each.member());
            if (!each.reportedSuspect()) {
                (each.member().failureDomain().equals(mSelf.failureDomain()) ? own : other)
                        .add(each.member());
                if (each.unanswered() > 0 && each.unanswered() < EVIDENCE) {
                    doubtful = Optional.of(each.member());
                }
            }
        }
        if (all.isEmpty()) {
            return List.of();
        }
        Set<Member> chosen = new LinkedHashSet<>();
        // A peer that did not answer is asked again at once, to tell a lost answer from a death.
        mRoundRobin = (mRoundRobin + 1) % all.size();
        chosen.add(doubtful.orElse(all.get(mRoundRobin)));
        random(own, chosen).ifPresent(chosen::add);
        random(other, chosen).ifPresent(chosen::add);
        List<HeartbeatTarget> targets = new ArrayList<>();
        for (Member each : chosen) {
            targets.add(new HeartbeatTarget(each.id(), each.peerAddress(), targets.isEmpty()));
        }
        return targets;
    }

    private Optional<Member> random(List<Member> members, Set<Member> chosen) {
        List<Member> free = members.stream().filter(each -> !chosen.contains(each)).toList();
        return free.isEmpty()
                ? Optional.empty()
                : Optional.of(free.get(mRandom.nextInt(free.size())));
    }

    /** Returns news first, then random members that were heard of lately. */
    private List<MemberUpdate> updates(long nowNanos) {
        Set<InstanceId> chosen = new LinkedHashSet<>();
        // News that has grown old would be read as a suspicion.
        mNews.keySet().removeIf(each -> !isWorthPassingOn(mPeers.get(each), nowNanos));
        for (InstanceId each : List.copyOf(mNews.keySet())) {
            if (chosen.size() >= MAX_UPDATES) {
                break;
            }
            chosen.add(each);
            int left = mNews.remove(each) - 1;
            if (left > 0) {
                mNews.put(each, left);
            }
        }
        List<InstanceId> fresh = new ArrayList<>();
        mPeers.forEach(
                (instance, record) -> {
                    if (!record.reportedSuspect() && isWorthPassingOn(record, nowNanos)) {
                        fresh.add(instance);
                    }
                });
        while (chosen.size() < MAX_UPDATES && !fresh.isEmpty()) {
            int index = mRandom.nextInt(fresh.size());
            chosen.add(fresh.get(index));
            fresh.set(index, fresh.get(fresh.size() - 1));
            fresh.remove(fresh.size() - 1);
        }
        return chosen.stream().map(each -> update(each, nowNanos)).toList();
    }

    private static boolean isWorthPassingOn(PeerRecord record, long nowNanos) {
        return record != null
                && (record.reportedSuspect()
                        || record.isHeard() && record.silence(nowNanos) <= RELAYED_AGE_NANOS);
    }

    private MemberUpdate update(InstanceId instance, long nowNanos) {
        PeerRecord record = mPeers.get(instance);
        long age = TimeUnit.NANOSECONDS.toMillis(record.silence(nowNanos));
        return new MemberUpdate(instance, record.incarnation(), age, record.leaving());
    }
}
