package org.plantainferry.engine.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;

/**
 * Ranks the live instances for a key by rendezvous hashing.
 *
 * <p>One object belongs to one membership snapshot and keeps the rankings it was asked for, so
 * 1,300 services cost one pass each per membership change. Names are hashed once with SHA-256; the
 * two hashes of a pair are mixed by one step of SplitMix64. Leaving instances are ranked only when
 * all are leaving. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RendezvousHash {
    private final long mVersion;
    private final List<Member> mMembers;
    private final long[] mHashes;
    private final Map<Query, List<InstanceId>> mCache = new HashMap<>();

    /** Creates the ranking of the instances of a snapshot. */
    public RendezvousHash(MembershipSnapshot snapshot) {
        Preconditions.notNull(snapshot, "snapshot");
        mVersion = snapshot.version();
        List<Member> staying = snapshot.staying();
        mMembers = staying.isEmpty() ? snapshot.members() : staying;
        mHashes = new long[mMembers.size()];
        for (int i = 0; i < mHashes.length; i++) {
            mHashes[i] = hash(mMembers.get(i).id().value());
        }
    }

    /** Returns the version of the snapshot. */
    public long version() {
        return mVersion;
    }

    /** Returns up to {@code count} instances, the highest score first. */
    public List<InstanceId> rank(String key, int count) {
        return mCache.computeIfAbsent(new Query(key, count, false), this::compute);
    }

    /**
     * Returns up to {@code count} instances, at first the best one of each failure domain, then the
     * others; both parts by score.
     */
    public List<InstanceId> rankAcrossDomains(String key, int count) {
        return mCache.computeIfAbsent(new Query(key, count, true), this::compute);
    }

    private List<InstanceId> compute(Query query) {
        Preconditions.condition(query.count() >= 0, "count must not be negative");
        long keyHash = hash(query.key());
        Scored[] scored = new Scored[mHashes.length];
        for (int i = 0; i < scored.length; i++) {
            scored[i] =
                    new Scored(new SplitMix64(mHashes[i] ^ keyHash).nextLong(), mMembers.get(i));
        }
        Arrays.sort(scored);
        List<InstanceId> result = new ArrayList<>();
        Set<FailureDomain> domains = new HashSet<>();
        if (query.acrossDomains()) {
            for (Scored each : scored) {
                if (result.size() < query.count() && domains.add(each.member().failureDomain())) {
                    result.add(each.member().id());
                }
            }
        }
        Set<InstanceId> chosen = new HashSet<>(result);
        for (Scored each : scored) {
            if (result.size() >= query.count()) {
                break;
            }
            if (chosen.add(each.member().id())) {
                result.add(each.member().id());
            }
        }
        return List.copyOf(result);
    }

    private static long hash(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return ByteBuffer.wrap(digest.digest(text.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new PlantainferryException(ErrorCode.INTERNAL, "SHA-256 is not available", e);
        }
    }

    private record Query(String key, int count, boolean acrossDomains) {}

    private record Scored(long score, Member member) implements Comparable<Scored> {
        private static final Comparator<Scored> ORDER =
                Comparator.comparingLong(Scored::score)
                        .reversed()
                        .thenComparing(each -> each.member().id());

        @Override
        public int compareTo(Scored other) {
            return ORDER.compare(this, other);
        }
    }
}
