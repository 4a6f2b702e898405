package org.plantainferry.verification.standin.relay;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Holds the cuts between source IP addresses and destinations; {@code *} stands for all. */
final class CutTable {
    static final String ANY = "*";

    private record CutKey(String source, String destination) {}

    private final Map<CutKey, CutMode> mCuts = new ConcurrentHashMap<>();

    void cut(String source, String destination, CutMode mode) {
        mCuts.put(new CutKey(source, destination), mode);
    }

    /** Removes a cut that was made with the same arguments. */
    void heal(String source, String destination) {
        mCuts.remove(new CutKey(source, destination));
    }

    Optional<CutMode> find(String source, String destination) {
        if (mCuts.isEmpty()) {
            return Optional.empty();
        }
        return Optional.ofNullable(mCuts.get(new CutKey(source, destination)))
                .or(() -> Optional.ofNullable(mCuts.get(new CutKey(source, ANY))))
                .or(() -> Optional.ofNullable(mCuts.get(new CutKey(ANY, destination))))
                .or(() -> Optional.ofNullable(mCuts.get(new CutKey(ANY, ANY))));
    }
}
