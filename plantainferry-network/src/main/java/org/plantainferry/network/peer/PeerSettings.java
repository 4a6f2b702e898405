package org.plantainferry.network.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Holds the settings of the connections between instances.
 *
 * @param listenAddress the address on which peers connect; port 0 selects a free port
 * @param localAddress the address that outgoing connections are bound to; empty for any
 * @param tls the TLS contexts; empty for plain TCP
 * @param maximumPending the maximum number of messages and calls that are waiting or in progress
 *     for one peer
 * @since 0.1
 */
public record PeerSettings(
        InetSocketAddress listenAddress,
        Optional<InetAddress> localAddress,
        Optional<PeerTls> tls,
        int maximumPending) {
    /** The default of {@code maximumPending}. */
    public static final int DEFAULT_MAXIMUM_PENDING = 1_024;

    /** Checks that nothing is missing and that the maximum is at least 1. */
    public PeerSettings {
        Preconditions.notNull(listenAddress, "listenAddress");
        Preconditions.notNull(localAddress, "localAddress");
        Preconditions.notNull(tls, "tls");
        Preconditions.condition(maximumPending >= 1, "maximumPending must be at least 1");
    }
}
