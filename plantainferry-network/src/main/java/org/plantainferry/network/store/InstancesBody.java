package org.plantainferry.network.store;

import java.util.List;
import org.plantainferry.api.Preconditions;

/** Holds the JSON form of the platform's list of instances. */
record InstancesBody(List<InstanceRecord> instances) {
    InstancesBody {
        Preconditions.notNull(instances, "instances");
    }
}
