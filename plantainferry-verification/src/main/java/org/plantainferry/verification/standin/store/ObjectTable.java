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
 * <p>The version of an object is the revision of its last change, so a version is never used twice
 * for one path, even when the object is removed and created again. Removed objects stay as entries
 * without a value so that a watch can report them. Callers synchronize.
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

    /** Lists what changed after a revision; a revision from the future counts as 0. */
    Listing changedAfter(String prefix, long after) {
        long from = after > mRevision ? 0 : after;
        return listMatching(prefix, o -> o.version() > from);
    }

    private Listing listMatching(String prefix, Predicate<StoredObject> condition) {
        List<StoredObject> found = new ArrayList<>();
        for (StoredObject object : mObjects.values()) {
            if (object.path().startsWith(prefix) && condition.test(object)) {
                found.add(object);
            }
        }
        return new Listing(mRevision, found);
    }
}
