package org.plantainferry.engine.catalog;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds keys as operators have written them.
 *
 * @since 0.3
 */
public final class PlainKeys implements WorkspaceKeys {
    private final Map<String, String> mWorkspaceByKey;

    /** Copies the workspace of each key. */
    public PlainKeys(Map<String, String> workspaceByKey) {
        mWorkspaceByKey = Map.copyOf(workspaceByKey);
    }

    @Override
    public Optional<String> workspaceOf(String key) {
        return Optional.ofNullable(mWorkspaceByKey.get(key));
    }

    @Override
    public Map<String, String> workspaceByDigest() {
        Map<String, String> workspaceByDigest = new HashMap<>();
        mWorkspaceByKey.forEach(
                (key, workspace) -> workspaceByDigest.put(KeyDigest.of(key), workspace));
        return workspaceByDigest;
    }
}
