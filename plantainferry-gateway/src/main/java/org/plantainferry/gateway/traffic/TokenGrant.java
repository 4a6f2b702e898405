package org.plantainferry.gateway.traffic;

/**
 * Holds the response to a request for rate-limit tokens of a workspace.
 *
 * @param tokens the number of granted tokens; 0 when none was left
 * @param retryAfterMillis milliseconds until a token is available, when none was granted; 0 when
 *     unknown
 * @since 0.2
 */
public record TokenGrant(int tokens, long retryAfterMillis) {
    /**
     * The grant of no token with an unknown retry delay, for example when no instance responded.
     */
    public static final TokenGrant NONE = new TokenGrant(0, 0);

    /** Returns whether at least one token was granted. */
    public boolean granted() {
        return tokens > 0;
    }
}
