package org.plantainferry.engine.limit;

import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import org.plantainferry.api.InstanceId;

/**
 * Describes the instances of the own failure domain as one instance sees them.
 *
 * @param live live instances that are not leaving, including this one unless it is leaving
 * @param listKnown whether the platform's list was read within the last seconds
 * @param listed all instances of the domain in the platform's list, in any state
 * @param silenceNanos the time since an instance was heard on the peer link, or since this process
 *     started when it was never heard
 * @since 0.1
 */
public record DomainView(
        SortedSet<InstanceId> live,
        boolean listKnown,
        Set<InstanceId> listed,
        ToLongFunction<InstanceId> silenceNanos) {
    /** Copies the sets. */
    public DomainView {
        live = new TreeSet<>(live);
        listed = Set.copyOf(listed);
    }
}
