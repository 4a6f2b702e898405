package org.plantainferry.gateway.spi;

import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.RoutingConfiguration;

/**
 * Gives access to the services of one platform.
 *
 * @since 0.2
 */
public interface PlatformConnection {
    /** Returns the configuration that operators write; it has one object. */
    Feed<RoutingConfiguration> configuration();

    /** Returns the servers that registered themselves. */
    Feed<CatalogServer> servers();

    /** Returns the list of instances of this system. */
    InstanceRegistry instances();

    /** Returns the claims to replace primaries. */
    ClaimStore claims();

    /** Returns the orders to replace primaries. */
    PromotionClient promotions();

    /** Returns the line format of callers and servers. */
    WireFormat wireFormat();
}
