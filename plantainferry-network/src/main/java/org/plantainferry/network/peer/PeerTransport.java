package org.plantainferry.network.peer;

import java.util.concurrent.CompletableFuture;
import org.plantainferry.network.peer.generated.PeerMessage;

/**
 * Exchanges messages with other instances.
 *
 * <p>A connection to an address is opened on first use and reused. Methods do not block and may be
 * called from any thread.
 *
 * @since 0.1
 */
public interface PeerTransport extends AutoCloseable {
    /**
     * Sends a message without an answer; drops it when the peer cannot be reached.
     *
     * @param address IP:PORT of the peer
     */
    void send(String address, PeerMessage message);

    /**
     * Sends a message, whose call number the transport sets, and returns a future of its answer.
     *
     * @param timeoutMillis milliseconds to wait for the answer
     * @return a future that fails with a {@code PEER_UNAVAILABLE} {@link
     *     org.plantainferry.api.PlantainferryException}; its verdict is {@code NOT_RUN} when no
     *     byte was written, and {@code MAY_HAVE_RUN} otherwise
     */
    CompletableFuture<PeerMessage> call(String address, PeerMessage message, long timeoutMillis);

    /** Closes the listener and all connections; calls in progress fail. */
    @Override
    void close();
}
