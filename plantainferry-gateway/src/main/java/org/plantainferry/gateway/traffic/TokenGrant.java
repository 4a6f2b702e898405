package org.plantainferry.gateway.traffic;

/**
 * Holds the answer to a question for tokens of a workspace.
 *
 * @param tokens the tokens that were granted; 0 when there was none
 * @param retryAfterMillis milliseconds until there is a token, when none was granted; 0 when
 *     unknown
 * @since 0.2
 */
public record TokenGrant(int tokens, long retryAfterMillis) {
    /** Nobody answered. */
    public static final TokenGrant NONE = new TokenGrant(0, 0);

    /** Returns whether there was a token. */
    public boolean granted() {
        return tokens > 0;
    }
}
