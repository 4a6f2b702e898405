package org.plantainferry.gateway.control;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.engine.catalog.GroupSettings;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.InstanceRegistry;
import org.plantainferry.gateway.spi.PromotionClient;
import org.plantainferry.gateway.traffic.FleetView;
import org.plantainferry.gateway.traffic.ServerProbe;

/**
 * Holds what the replacement of a primary works with.
 *
 * @param holder the name under which this process claims groups
 * @param fenceExchange keeps the instances from using a primary that is being replaced
 * @param fenceRegistry remembers what is known of replacements
 * @param instances the list of instances at the store
 * @param guardsPrimaries whether a former primary may go on leading after the order
 */
record ReplacementContext(
        String holder,
        ClaimStore claims,
        PromotionClient promotions,
        ServerProbe probe,
        FenceExchange fenceExchange,
        FenceRegistry fenceRegistry,
        InstanceRegistry instances,
        boolean guardsPrimaries,
        LongSupplier clock,
        Supplier<FleetView> view) {
    int synchronousReplicas(String service) {
        GroupSettings settings = view.get().configuration().groups().get(service);
        return settings == null ? 0 : settings.synchronousReplicas();
    }
}
