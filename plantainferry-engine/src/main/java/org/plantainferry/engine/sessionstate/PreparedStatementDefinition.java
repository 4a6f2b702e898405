package org.plantainferry.engine.sessionstate;

/**
 * Identifies what a prepared statement does, apart from its name.
 *
 * @param writes whether it changes data
 * @param text the text that was prepared
 * @since 0.2
 */
public record PreparedStatementDefinition(boolean writes, String text) {}
