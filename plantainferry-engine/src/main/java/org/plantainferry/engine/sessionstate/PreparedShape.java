package org.plantainferry.engine.sessionstate;

/**
 * Identifies what a prepared statement does, apart from its name.
 *
 * @param writes whether it changes data
 * @param shape the text that was prepared
 * @since 0.2
 */
public record PreparedShape(boolean writes, String shape) {}
