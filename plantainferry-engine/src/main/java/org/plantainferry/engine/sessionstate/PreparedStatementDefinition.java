package org.plantainferry.engine.sessionstate;

/**
 * Identifies what a prepared statement does, independent of its name.
 *
 * @param writes whether the statement changes data
 * @param text the text that was prepared
 * @since 0.2
 */
public record PreparedStatementDefinition(boolean writes, String text) {}
