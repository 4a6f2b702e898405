package org.plantainferry.gateway.spi;

import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.RoutingConfiguration;

/**
 * Provides the clients of one platform.
 *
 * @since 0.2
 */
public interface PlatformConnection {
    /** Returns the feed of the configuration, which consists of one object. */
    Feed<RoutingConfiguration> configuration();

    /** Returns the feed of registered servers. */
    Feed<CatalogServer> servers();

    /** Returns the registry of the instances of this system. */
    InstanceRegistry instances();

    /** Returns the feed of evacuated failure domains; the name of an object is the domain. */
    Feed<String> evacuations();

    /** Returns the store of claims to replace primaries. */
    ClaimStore claims();

    /** Returns the store of memberships of groups. */
    ReplicaMembershipStore memberships();

    /** Returns the client for promoting servers to primary. */
    PromotionClient promotions();

    /** Returns the wire format of callers and servers. */
    WireFormat wireFormat();

    /** Returns the lines with which a gateway warms up. */
    WarmUpScript warmUpScript();
}
