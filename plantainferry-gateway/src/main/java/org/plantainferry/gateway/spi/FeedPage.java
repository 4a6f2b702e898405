package org.plantainferry.gateway.spi;

import java.util.List;
import org.plantainferry.engine.freshness.StoreRevision;

/**
 * Contains the objects, or the changes of objects, up to a revision of the store.
 *
 * @param revision the revision after which the next watch starts
 * @since 0.2
 */
public record FeedPage<T>(StoreRevision revision, List<FeedEntry<T>> entries) {}
