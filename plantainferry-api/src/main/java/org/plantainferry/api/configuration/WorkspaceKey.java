package org.plantainferry.api.configuration;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;

/**
 * Describes a key that a release note adds to a workspace or changes.
 *
 * @param workspace the workspace that receives the key
 * @param id the name of the key
 * @param sha256 the SHA-256 of the key, as in {@link CallerKey}
 * @since 0.1
 */
public record WorkspaceKey(WorkspaceName workspace, String id, String sha256) {
    /** Checks the fields as {@link CallerKey} does. */
    public WorkspaceKey {
        Preconditions.notNull(workspace, "workspace of key " + id);
        Preconditions.notNull(new CallerKey(id, sha256), "key");
    }

    /** Returns the key without its workspace. */
    public CallerKey key() {
        return new CallerKey(id, sha256);
    }
}
