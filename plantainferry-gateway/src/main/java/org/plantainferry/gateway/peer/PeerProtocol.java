package org.plantainferry.gateway.peer;

import io.netty.channel.Channel;

/**
 * Serves connections of other instances that were opened for one purpose.
 *
 * @since 0.3
 */
public interface PeerProtocol {
    /**
     * Takes a connection over; called on the event loop of the connection.
     *
     * <p>The handlers that are added to the pipeline during the call receive all bytes after the
     * first line.
     *
     * @param argument what the first line names after the purpose; may be empty
     */
    void accept(Channel channel, String argument);
}
