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
 * <p>Each object belongs to one membership snapshot and caches its rankings, so 1,300 services cost
 * one pass each per membership change. Names are hashed once. Leaving instances are ranked only
 * when all instances are leaving. Not thread-safe.
 *
 * @since 0.1
 */
public final class RendezvousHash {
    private final long mVersion;
    private final List<Member> mMembers;
    private final long[] mMemberHashes;
    private final Map<Query, List<InstanceId>> mRankings = new HashMap<>();

    /** Creates the ranking for a membership snapshot. */
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

    /** Returns the version of the membership snapshot. */
    public long version() {
        return mVersion;
    }

    /** Returns up to {@code count} instances in descending order of score. */
    public List<InstanceId> rank(String key, int count) {
        return mRankings.computeIfAbsent(new Query(key, count, false), this::computeRanking);
    }

    /**
     * Returns up to {@code count} instances: first the highest-scoring one of each failure domain,
     * then the remaining ones; both parts in descending order of score.
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
            Map<FailureDomain, Integer> bestByDomain = new HashMap<>();
            for (int i = 0; i < scores.length; i++) {
                bestByDomain.merge(
                        mMembers.get(i).failureDomain(),
                        i,
                        (a, b) -> scores[b] > scores[a] ? b : a);
            }
            bestByDomain
                    .values()
                    .forEach(index -> insertByScore(ranked, index, scores, query.count()));
        }
        if (ranked.size() < query.count()) {
            List<Integer> remaining = new ArrayList<>();
            for (int i = 0; i < scores.length; i++) {
                if (!ranked.contains(i)) {
                    insertByScore(remaining, i, scores, query.count() - ranked.size());
                }
            }
            ranked.addAll(remaining);
        }
        return ranked.stream().map(index -> mMembers.get(index).id()).toList();
    }

    /**
     * Inserts an index into a list sorted by descending score, which keeps only the highest {@code
     * limit}.
     */
    private static void insertByScore(List<Integer> sorted, int index, long[] scores, int limit) {
        int position = sorted.size();
        while (position > 0 && scores[sorted.get(position - 1)] < scores[index]) {
            position--;
        }
        if (position < limit) {
            sorted.add(position, index);
            if (sorted.size() > limit) {
                sorted.remove(limit);
            }
        }
    }

    private record Query(String key, int count, boolean acrossDomains) {}
}
