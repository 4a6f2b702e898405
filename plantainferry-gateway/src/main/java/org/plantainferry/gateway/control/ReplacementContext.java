package org.plantainferry.gateway.control;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.InstanceRegistry;
import org.plantainferry.gateway.spi.PromotionClient;
import org.plantainferry.gateway.traffic.FleetView;
import org.plantainferry.gateway.traffic.PrimaryLeaseGuard;
import org.plantainferry.gateway.traffic.ServerProbe;

/**
 * Bundles the dependencies of the replacement of a primary.
 *
 * @param holder the name under which this instance claims groups
 * @param fenceExchange announces replacements, so that no instance uses a primary that is being
 *     replaced
 * @param fenceRegistry the replacement state of each group
 * @param tokens gives out the fencing tokens of claims
 * @param epochs the epochs of the store
 * @param settled returns whether claims may be acquired: whether all instances are listed in the
 *     newest epoch of the store, and claims that it may have lost have ended
 * @param instances the registry of instances in the store
 * @param memberships the replicas that may hold acknowledged commits
 * @param guard is told of groups whose primary is lost and cannot be replaced
 * @param guardsPrimaries whether this system has to fence former primaries, because the platform
 *     does not
 */
record ReplacementContext(
        String holder,
        ClaimStore claims,
        PromotionClient promotions,
        ServerProbe probe,
        FenceExchange fenceExchange,
        FenceRegistry fenceRegistry,
        FencingTokenSource tokens,
        StoreEpochTracker epochs,
        BooleanSupplier settled,
        InstanceRegistry instances,
        ReplicaMembershipKeeper memberships,
        PrimaryLeaseGuard guard,
        boolean guardsPrimaries,
        LongSupplier clock,
        Supplier<FleetView> view) {}
