package org.plantainferry.network.target;

import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Holds one request to a target server.
 *
 * @param method {@code GET} or {@code POST}
 * @param path the path, with a leading slash
 * @param body the JSON body, if there is one
 * @see TargetProtocol
 * @since 0.1
 */
public record TargetRequest(String method, String path, Optional<String> body) {
    /** Checks that nothing is missing. */
    public TargetRequest {
        Preconditions.notNull(method, "method");
        Preconditions.notNull(path, "path");
        Preconditions.notNull(body, "body");
    }
}
