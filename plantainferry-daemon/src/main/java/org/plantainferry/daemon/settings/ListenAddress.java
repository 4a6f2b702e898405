package org.plantainferry.daemon.settings;

/**
 * Holds the IP address and the port on which the instance listens.
 *
 * @param host the IP address; an IPv6 address is in brackets
 * @param port the port, from 1 to 65535
 * @since 0.1
 */
public record ListenAddress(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
