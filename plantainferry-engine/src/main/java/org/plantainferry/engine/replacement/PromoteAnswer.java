package org.plantainferry.engine.replacement;

/**
 * Holds the answer of a server to a promote request.
 *
 * @param promoted whether the server is the primary of the requested term now
 * @param term the term of the server
 * @since 0.1
 */
public record PromoteAnswer(boolean promoted, long term) {}
