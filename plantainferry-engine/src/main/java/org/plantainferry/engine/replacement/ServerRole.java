package org.plantainferry.engine.replacement;

/**
 * Lists the roles that a server reports of itself.
 *
 * @since 0.1
 */
public enum ServerRole {
    /** The server accepts writes of its term. */
    PRIMARY,
    /** The server follows the primary of its term. */
    REPLICA,
    /** The server was fenced, or has not begun; it follows no primary. */
    NONE
}
