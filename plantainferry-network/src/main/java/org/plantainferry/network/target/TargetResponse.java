package org.plantainferry.network.target;

import org.plantainferry.api.Preconditions;

/**
 * Holds the complete HTTP response of a target server to one request.
 *
 * @param status the HTTP status
 * @param body the body as text; empty when there is none
 * @see TargetProtocol
 * @since 0.1
 */
public record TargetResponse(int status, String body) {
    /** Checks that nothing is missing. */
    public TargetResponse {
        Preconditions.notNull(body, "body");
    }
}
