package org.plantainferry.network.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Lets the operating system find connections whose other end has fallen silent.
 *
 * <p>A connection that waits for news, or for its next use, sends nothing by itself. Without probes
 * its loss shows only when a request on it goes unanswered.
 *
 * @since 0.2
 */
public final class TcpKeepAlive {
    private static final int IDLE_SECONDS = 1;
    private static final int INTERVAL_SECONDS = 1;
    private static final int UNANSWERED_PROBES = 2;

    private TcpKeepAlive() {}

    /** Turns probes on; a silent connection is reset after 3 s. */
    public static Bootstrap configure(Bootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        INTERVAL_SECONDS)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                        UNANSWERED_PROBES);
    }
}
