package org.plantainferry.gateway.traffic;

import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;

/**
 * Remembers the signatures that one connection has received, as hashes of 64 bits.
 *
 * <p>Not thread-safe.
 */
final class SignatureHistory {
    /** The number of signatures after which a connection is replaced, which bounds its memory. */
    static final int MAX_SIGNATURES = 1_024;

    private static final int INITIAL_CAPACITY = 8;
    // The offset basis and the prime of the hash function FNV-1a for 64 bits.
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private final LongObjectMap<Boolean> mHashes = new LongObjectHashMap<>(INITIAL_CAPACITY);

    /** Adds a signature and returns whether it is new. */
    boolean add(String signature) {
        return mHashes.put(hash(signature), Boolean.TRUE) == null;
    }

    boolean isFull() {
        return mHashes.size() >= MAX_SIGNATURES;
    }

    private static long hash(String text) {
        long hash = OFFSET_BASIS;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * PRIME;
        }
        return hash;
    }
}
