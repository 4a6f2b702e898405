package org.plantainferry.verification.standin.relay;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Holds the cuts between source IP addresses and destinations; {@code *} stands for all. */
final class CutTable {
    static final String ANY = "*";

    private record Pair(String source, String destination) {}

    private final Map<Pair, CutMode> mCuts = new ConcurrentHashMap<>();

    void cut(String source, String destination, CutMode mode) {
        mCuts.put(new Pair(source, destination), mode);
    }

    /** Removes a cut that was made with the same arguments. */
    void heal(String source, String destination) {
        mCuts.remove(new Pair(source, destination));
    }

    Optional<CutMode> find(String source, String destination) {
        if (mCuts.isEmpty()) {
            return Optional.empty();
        }
        return Optional.ofNullable(mCuts.get(new Pair(source, destination)))
                .or(() -> Optional.ofNullable(mCuts.get(new Pair(source, ANY))))
                .or(() -> Optional.ofNullable(mCuts.get(new Pair(ANY, destination))))
                .or(() -> Optional.ofNullable(mCuts.get(new Pair(ANY, ANY))));
    }
}
