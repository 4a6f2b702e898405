package org.plantainferry.engine.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * Finds the workspace of a caller's key.
 *
 * @since 0.3
 */
public interface WorkspaceKeys {
    /** Returns the workspace of a key; empty for an unknown key. */
    Optional<String> workspaceOf(String key);

    /** Returns the workspace of each key, by the digest of the key. */
    Map<String, String> workspaceByDigest();
}
