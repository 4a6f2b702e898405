package org.plantainferry.engine.catalog;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Holds the digests of keys, which another instance has computed from the keys.
 *
 * @since 0.3
 */
public final class DigestedKeys implements WorkspaceKeys {
    private final Map<String, String> mWorkspaceByDigest;
    // Holds only keys that were found, so it never has more entries than there are digests.
    private final Map<String, String> mWorkspaceByFoundKey = new ConcurrentHashMap<>();

    /** Copies the workspace of each digest. */
    public DigestedKeys(Map<String, String> workspaceByDigest) {
        mWorkspaceByDigest = Map.copyOf(workspaceByDigest);
    }

    @Override
    public Optional<String> workspaceOf(String key) {
        String found = mWorkspaceByFoundKey.get(key);
        if (found != null) {
            return Optional.of(found);
        }
        Optional<String> workspace = Optional.ofNullable(mWorkspaceByDigest.get(KeyDigest.of(key)));
        workspace.ifPresent(name -> mWorkspaceByFoundKey.put(key, name));
        return workspace;
    }

    @Override
    public Map<String, String> workspaceByDigest() {
        return mWorkspaceByDigest;
    }
}
