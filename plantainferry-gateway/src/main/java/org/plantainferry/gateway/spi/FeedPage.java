package org.plantainferry.gateway.spi;

import java.util.List;

/**
 * Holds the objects, or the changes of objects, up to a revision of the store.
 *
 * @param revision the revision from which the next watch continues
 * @since 0.2
 */
public record FeedPage<T>(long revision, List<FeedEntry<T>> entries) {}
