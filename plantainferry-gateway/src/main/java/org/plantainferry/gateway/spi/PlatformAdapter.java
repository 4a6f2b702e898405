package org.plantainferry.gateway.spi;

import io.netty.channel.EventLoopGroup;
import org.plantainferry.gateway.settings.GatewaySettings;

/**
 * Connects the gateway to one kind of platform; the program of the platform creates it.
 *
 * @since 0.2
 */
public interface PlatformAdapter {
    /**
     * Creates the clients of the platform; they connect at the first call.
     *
     * @param group the event loop of control, on which all futures complete
     */
    PlatformConnection connect(GatewaySettings settings, EventLoopGroup group);
}
