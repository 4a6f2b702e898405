package org.plantainferry.engine.configuration;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;

/**
 * Identifies a key of a workspace.
 *
 * @param workspace the workspace
 * @param keyId the identifier of the key within the workspace
 * @since 0.1
 */
public record KeyReference(WorkspaceName workspace, String keyId) {
    /** Validates the components. */
    public KeyReference {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.notNull(keyId, "keyId");
    }
}
