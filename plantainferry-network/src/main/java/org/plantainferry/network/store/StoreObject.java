package org.plantainferry.network.store;

import java.util.Optional;

/**
 * Holds one object of the store.
 *
 * @param path its name
 * @param version its version, which grows with each change
 * @param value its content; empty when a watch reports that the object was removed
 * @since 0.1
 */
public record StoreObject(String path, long version, Optional<String> value) {}
