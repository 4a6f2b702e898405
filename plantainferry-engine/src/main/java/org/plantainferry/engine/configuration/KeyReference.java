package org.plantainferry.engine.configuration;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;

/**
 * Names a key of a workspace.
 *
 * @param workspace the workspace
 * @param keyId the name of the key
 * @since 0.1
 */
public record KeyReference(WorkspaceName workspace, String keyId) {
    /** Checks that nothing is missing. */
    public KeyReference {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.notNull(keyId, "keyId");
    }
}
