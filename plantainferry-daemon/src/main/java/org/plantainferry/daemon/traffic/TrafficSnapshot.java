package org.plantainferry.daemon.traffic;

import java.util.List;
import java.util.Map;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.ServiceName;
import org.plantainferry.engine.configuration.FreshnessWindow;
import org.plantainferry.engine.configuration.KeyDirectory;
import org.plantainferry.engine.drain.DrainState;
import org.plantainferry.engine.drain.DrainView;
import org.plantainferry.engine.membership.MembershipSnapshot;

/**
 * Holds the decisions of control that traffic needs; immutable.
 *
 * @param keys the keys, workspaces and open routes in force
 * @param freshness until when the configuration counts as fresh
 * @param members the live instances
 * @param gateways the instances that hold connections to a service; all do if it has no entry
 * @param drain which requests this instance still accepts
 * @since 0.1
 */
public record TrafficSnapshot(
        KeyDirectory keys,
        FreshnessWindow freshness,
        MembershipSnapshot members,
        Map<ServiceName, List<InstanceId>> gateways,
        DrainView drain) {
    /** Copies the map of gateways. */
    public TrafficSnapshot {
        gateways = Map.copyOf(gateways);
    }

    /**
     * Returns the snapshot of an instance that has no configuration and knows no other instance.
     */
    public static TrafficSnapshot initial(long nowNanos) {
        return new TrafficSnapshot(
                KeyDirectory.EMPTY,
                FreshnessWindow.NONE,
                new MembershipSnapshot(0, List.of()),
                Map.of(),
                new DrainState(DrainState.DEFAULT_DRAIN_NANOS).view(nowNanos));
    }
}
