package org.plantainferry.gateway.spi;

import java.util.Optional;

/**
 * Represents one object of a feed.
 *
 * @param name the name of the object
 * @param revision the revision of its last change
 * @param value its content; empty if it was removed or is invalid
 * @since 0.2
 */
public record FeedEntry<T>(String name, long revision, Optional<T> value) {}
