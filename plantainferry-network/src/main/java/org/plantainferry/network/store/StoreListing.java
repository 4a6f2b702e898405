package org.plantainferry.network.store;

import java.util.List;

/**
 * Holds objects at a revision of the store.
 *
 * @param revision the revision after which the next watch continues
 * @param objects the objects; for a watch, only those that changed
 * @since 0.1
 */
public record StoreListing(long revision, List<StoreObject> objects) {}
