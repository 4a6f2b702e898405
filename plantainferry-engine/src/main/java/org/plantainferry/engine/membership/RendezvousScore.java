package org.plantainferry.engine.membership;

import java.util.Collection;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Computes scores of pairs of names for rendezvous hashing.
 *
 * <p>Scores are the same in every process. Names that differ in one character have independent
 * scores, because one step of SplitMix64 follows FNV-1a.
 *
 * @since 0.2
 */
public final class RendezvousScore {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    private RendezvousScore() {}

    /** Returns the hash of a name; keep the hash of a name that is scored repeatedly. */
    public static long hash(String name) {
        long hash = FNV_OFFSET;
        for (int index = 0; index < name.length(); index++) {
            hash = (hash ^ name.charAt(index)) * FNV_PRIME;
        }
        return new SplitMix64(hash).nextLong();
    }

    /** Returns how many of the other names have a higher score with a key than a name. */
    public static int rank(String name, Collection<String> others, String key) {
        long keyHash = hash(key);
        long ownScore = score(hash(name), keyHash);
        int rank = 0;
        for (String other : others) {
            rank += score(hash(other), keyHash) > ownScore ? 1 : 0;
        }
        return rank;
    }

    /** Returns the score of a pair of names, given their hashes. */
    public static long score(long memberHash, long keyHash) {
        return new SplitMix64(memberHash ^ keyHash).nextLong();
    }
}
