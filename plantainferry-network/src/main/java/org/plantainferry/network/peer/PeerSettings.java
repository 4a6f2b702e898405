package org.plantainferry.network.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Sets how an instance talks to its peers.
 *
 * @param listenAddress where peers connect to; port 0 picks a free port
 * @param localAddress the address that outgoing connections are bound to; empty for any
 * @param tls the TLS contexts; empty for plain TCP
 * @param maximumPending messages and calls that may wait or be in progress for one peer
 * @since 0.1
 */
public record PeerSettings(
        InetSocketAddress listenAddress,
        Optional<InetAddress> localAddress,
        Optional<PeerTls> tls,
        int maximumPending) {
    /** The default of {@code maximumPending}. */
    public static final int DEFAULT_MAXIMUM_PENDING = 1_024;

    /** Checks the range. */
    public PeerSettings {
        Preconditions.notNull(listenAddress, "listenAddress");
        Preconditions.notNull(localAddress, "localAddress");
        Preconditions.notNull(tls, "tls");
        Preconditions.condition(maximumPending >= 1, "maximumPending must be at least 1");
    }
}
