package org.plantainferry.network.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.plantainferry.api.Preconditions;

/** Holds the JSON form of a listing. */
record ListingBody(long revision, List<ObjectBody> objects) {
    ListingBody {
        Preconditions.notNull(objects, "objects");
    }

    /** Holds one object; its value is a text or an embedded JSON value. */
    record ObjectBody(String path, long version, JsonNode value) {
        ObjectBody {
            Preconditions.notNull(path, "path");
        }

        StoreObject toStoreObject() {
            if (value == null || value.isNull()) {
                return new StoreObject(path, version, Optional.empty());
            }
            return new StoreObject(
                    path,
                    version,
                    Optional.of(value.isTextual() ? value.textValue() : value.toString()));
        }
    }
}
