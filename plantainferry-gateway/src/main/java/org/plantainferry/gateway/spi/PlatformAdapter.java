package org.plantainferry.gateway.spi;

import io.netty.channel.EventLoopGroup;
import org.plantainferry.gateway.settings.GatewaySettings;

/**
 * Connects the gateway to one kind of platform; created by the main class for that platform.
 *
 * @since 0.2
 */
public interface PlatformAdapter {
    /**
     * Creates the clients of the platform; they connect at the first call.
     *
     * @param group the event loop group of the control thread, on which all futures complete
     */
    PlatformConnection connect(GatewaySettings settings, EventLoopGroup group);
}
