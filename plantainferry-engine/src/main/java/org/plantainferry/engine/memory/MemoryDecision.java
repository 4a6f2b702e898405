package org.plantainferry.engine.memory;

import java.util.List;

/**
 * Describes what is to be done about the memory of connections.
 *
 * @param resumed connections that may receive again
 * @param closed connections that are to be closed at once
 * @param <T> the type of a connection
 * @since 0.6
 */
public record MemoryDecision<T>(List<T> resumed, List<T> closed) {}
