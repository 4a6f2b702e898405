package org.plantainferry.network.peer;

import java.util.concurrent.CompletableFuture;
import org.plantainferry.network.peer.generated.PeerMessage;

/**
 * Handles messages from other instances; called on event loop threads, so it must not block.
 *
 * @since 0.1
 */
public interface PeerHandler {
    /**
     * Handles one message.
     *
     * @return a future of the answer to a call; a future of null for a message without an answer
     */
    CompletableFuture<PeerMessage> handle(PeerMessage message);
}
