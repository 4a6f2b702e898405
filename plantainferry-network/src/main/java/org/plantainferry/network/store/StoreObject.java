package org.plantainferry.network.store;

import java.util.Optional;

/**
 * Holds one object of the store.
 *
 * @param path the path that identifies it
 * @param version its version, which increases with each change
 * @param value its content; empty when a watch reports that the object was removed
 * @since 0.1
 */
public record StoreObject(String path, long version, Optional<String> value) {}
