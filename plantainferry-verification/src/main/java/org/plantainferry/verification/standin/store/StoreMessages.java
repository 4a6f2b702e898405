package org.plantainferry.verification.standin.store;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;
import org.plantainferry.network.store.InstanceRecord;

/** Defines the bodies of the store's responses (section 13.3 of the design page). */
final class StoreMessages {
    private StoreMessages() {}

    /** Describes an object; the value of a removed object is written as null. */
    record StoredObject(String path, long version, @JsonInclude Optional<String> value) {}

    record Listing(long revision, List<StoredObject> objects) {}

    record Instances(List<InstanceRecord> instances) {}

    record Version(long version) {}
}
