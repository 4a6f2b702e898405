package org.plantainferry.verification.standin.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.plantainferry.verification.standin.store.StoreMessages.Listing;
import org.plantainferry.verification.standin.store.StoreMessages.StoredObject;

/**
 * Holds the objects of the store with their versions.
 *
 * <p>The version of an object is the store revision of its last change, so a path never gets the
 * same version twice, even when its object is removed and created again. Removed objects remain as
 * tombstones without a value, so that a watch can report the removal. Not thread-safe; callers
 * synchronize on the table.
 */
final class ObjectTable {
    private final Map<String, StoredObject> mObjects = new TreeMap<>();
    private long mRevision;

    Optional<StoredObject> get(String path) {
        return Optional.ofNullable(mObjects.get(path)).filter(o -> o.value().isPresent());
    }

    StoredObject update(String path, Optional<String> value) {
        mRevision++;
        StoredObject object = new StoredObject(path, mRevision, value);
        mObjects.put(path, object);
        return object;
    }

    Listing list(String prefix) {
        return listMatching(prefix, o -> o.value().isPresent());
    }

    /**
     * Lists the objects that changed after a revision, including removed ones.
     *
     * <p>A revision higher than the current one counts as 0, so all objects are listed.
     */
    Listing changedAfter(String prefix, long after) {
        long fromRevision = after > mRevision ? 0 : after;
        return listMatching(prefix, o -> o.version() > fromRevision);
    }

    private Listing listMatching(String prefix, Predicate<StoredObject> condition) {
        List<StoredObject> matching = new ArrayList<>();
        for (StoredObject object : mObjects.values()) {
            if (object.path().startsWith(prefix) && condition.test(object)) {
                matching.add(object);
            }
        }
        return new Listing(mRevision, matching);
    }
}
