package org.plantainferry.gateway.spi;

import java.util.Optional;

/**
 * Holds one object of a feed.
 *
 * @param name the name of the object
 * @param revision the revision of its last change
 * @param value its content; empty when it was removed or cannot be used
 * @since 0.2
 */
public record FeedEntry<T>(String name, long revision, Optional<T> value) {}
