package org.plantainferry.engine.membership;

import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Scores pairs of names for rendezvous hashing.
 *
 * <p>Every process computes the same scores. Names that differ in one character score
 * independently, because FNV-1a is followed by one step of SplitMix64.
 *
 * @since 0.2
 */
public final class RendezvousScore {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    private RendezvousScore() {}

    /** Returns the hash of a name, to be kept where the name is scored many times. */
    public static long hash(String name) {
        long hash = FNV_OFFSET;
        for (int index = 0; index < name.length(); index++) {
            hash = (hash ^ name.charAt(index)) * FNV_PRIME;
        }
        return new SplitMix64(hash).nextLong();
    }

    /** Returns the score of a pair, given the hashes of its names. */
    public static long score(long memberHash, long keyHash) {
        return new SplitMix64(memberHash ^ keyHash).nextLong();
    }
}
