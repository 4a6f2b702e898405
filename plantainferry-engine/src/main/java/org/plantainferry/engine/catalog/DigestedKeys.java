package org.plantainferry.engine.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * Holds the digests of keys, which another instance has computed from the keys.
 *
 * @since 0.3
 */
public final class DigestedKeys implements WorkspaceKeys {
    private final Map<String, String> mWorkspaceByDigest;

    /** Copies the workspace of each digest. */
    public DigestedKeys(Map<String, String> workspaceByDigest) {
        mWorkspaceByDigest = Map.copyOf(workspaceByDigest);
    }

    @Override
    public Optional<String> workspaceOf(String key) {
        return Optional.ofNullable(mWorkspaceByDigest.get(KeyDigest.of(key)));
    }

    @Override
    public Map<String, String> workspaceByDigest() {
        return mWorkspaceByDigest;
    }
}
