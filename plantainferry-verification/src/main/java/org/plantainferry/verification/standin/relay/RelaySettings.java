package org.plantainferry.verification.standin.relay;

import java.util.List;
import java.util.Optional;

/**
 * Holds the settings of a relay.
 *
 * @param control HOST:PORT of the control endpoints
 * @param routes the addresses between which the relay forwards connections
 * @since 0.1
 */
public record RelaySettings(String control, List<Route> routes) {
    /**
     * Defines a listening address and the destination of its connections.
     *
     * @param listen HOST:PORT on which the relay listens
     * @param destination HOST:PORT to which it forwards
     * @param delayMillis the one-way delay of each direction in milliseconds; 0 when absent
     * @since 0.1
     */
    public record Route(String listen, String destination, Optional<Long> delayMillis) {}
}
