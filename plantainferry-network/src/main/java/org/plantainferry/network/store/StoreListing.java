package org.plantainferry.network.store;

import java.util.List;

/**
 * Holds objects as of a revision of the store.
 *
 * @param revision the revision after which a watch continues
 * @param objects the objects, or the changed objects in the answer to a watch
 * @since 0.1
 */
public record StoreListing(long revision, List<StoreObject> objects) {}
