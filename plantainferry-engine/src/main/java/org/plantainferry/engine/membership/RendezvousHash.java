package org.plantainferry.engine.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Ranks the live instances for a key by rendezvous hashing.
 *
 * <p>One object belongs to one membership snapshot and keeps the rankings it was asked for, so
 * 1,300 services cost one pass each per membership change. Names are hashed once. Leaving instances
 * are ranked only when all are leaving. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RendezvousHash {
    private final long mVersion;
    private final List<Member> mMembers;
    private final long[] mMemberHashes;
    private final Map<Query, List<InstanceId>> mRankings = new HashMap<>();

    /** Creates the ranking of the instances of a snapshot. */
    public RendezvousHash(MembershipSnapshot snapshot) {
        Preconditions.notNull(snapshot, "snapshot");
        mVersion = snapshot.version();
        List<Member> staying = snapshot.nonLeavingMembers();
        mMembers = staying.isEmpty() ? snapshot.members() : staying;
        mMemberHashes = new long[mMembers.size()];
        for (int i = 0; i < mMemberHashes.length; i++) {
            mMemberHashes[i] = RendezvousScore.hash(mMembers.get(i).id().value());
        }
    }

    /** Returns the version of the snapshot. */
    public long version() {
        return mVersion;
    }

    /** Returns up to {@code count} instances, the highest score first. */
    public List<InstanceId> rank(String key, int count) {
        return mRankings.computeIfAbsent(new Query(key, count, false), this::computeRanking);
    }

    /**
     * Returns up to {@code count} instances, at first the best one of each failure domain, then the
     * others; both parts by score.
     */
    public List<InstanceId> rankAcrossDomains(String key, int count) {
        return mRankings.computeIfAbsent(new Query(key, count, true), this::computeRanking);
    }

    private List<InstanceId> computeRanking(Query query) {
        Preconditions.condition(query.count() >= 0, "count must not be negative");
        long keyHash = RendezvousScore.hash(query.key());
        long[] scores = new long[mMemberHashes.length];
        for (int i = 0; i < scores.length; i++) {
            scores[i] = RendezvousScore.score(mMemberHashes[i], keyHash);
        }
        List<Integer> ranked = new ArrayList<>();
        if (query.acrossDomains()) {
            Map<FailureDomain, Integer> best = new HashMap<>();
            for (int i = 0; i < scores.length; i++) {
                best.merge(
                        mMembers.get(i).failureDomain(),
                        i,
                        (a, b) -> scores[b] > scores[a] ? b : a);
            }
            best.values().forEach(each -> insertByScore(ranked, each, scores, query.count()));
        }
        if (ranked.size() < query.count()) {
            List<Integer> others = new ArrayList<>();
            for (int i = 0; i < scores.length; i++) {
                if (!ranked.contains(i)) {
                    insertByScore(others, i, scores, query.count() - ranked.size());
                }
            }
            ranked.addAll(others);
        }
        return ranked.stream().map(each -> mMembers.get(each).id()).toList();
    }

    /** Inserts an index by its score into a sorted list that keeps a number of the highest. */
    private static void insertByScore(List<Integer> sorted, int index, long[] scores, int limit) {
        int place = sorted.size();
        while (place > 0 && scores[sorted.get(place - 1)] < scores[index]) {
            place--;
        }
        if (place < limit) {
            sorted.add(place, index);
            if (sorted.size() > limit) {
                sorted.remove(limit);
            }
        }
    }

    private record Query(String key, int count, boolean acrossDomains) {}
}
