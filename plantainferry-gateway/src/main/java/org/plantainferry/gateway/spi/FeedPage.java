package org.plantainferry.gateway.spi;

import java.util.List;

/**
 * Contains the objects, or the changes of objects, up to a revision of the store.
 *
 * @param revision the revision after which the next watch starts
 * @since 0.2
 */
public record FeedPage<T>(long revision, List<FeedEntry<T>> entries) {}
