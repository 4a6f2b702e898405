package org.plantainferry.daemon.settings;

/**
 * Names an IP number and a port on which the instance listens.
 *
 * @param host the IP number
 * @param port the port, from 1 to 65535
 * @since 0.1
 */
public record ListenAddress(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
