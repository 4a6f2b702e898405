package org.plantainferry.engine.limit;

import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import org.plantainferry.api.InstanceId;

/**
 * Describes the instances of the local failure domain as seen by one instance.
 *
 * @param live the live instances that are not leaving, including this one unless it is leaving
 * @param listKnown whether the platform's list was read within the last seconds
 * @param listed all instances of the domain in the platform's list, in any state
 * @param silenceNanos nanoseconds since a message from an instance was received on the peer link,
 *     or since the start of this process if there was none
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
