package org.plantainferry.verification.standin.relay;

import java.util.List;
import java.util.Optional;

/**
 * Holds the settings of a relay.
 *
 * @param control HOST:PORT of the control endpoints
 * @param routes what it forwards
 * @since 0.1
 */
public record RelaySettings(String control, List<Route> routes) {
    /**
     * Names a pair of addresses.
     *
     * @param listen HOST:PORT at which the relay listens
     * @param destination HOST:PORT to which it forwards
     * @param delayMillis the delay of each direction; 0 when absent
     * @since 0.1
     */
    public record Route(String listen, String destination, Optional<Long> delayMillis) {}
}
