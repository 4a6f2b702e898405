package org.plantainferry.network.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Configures TCP keep-alive, with which the operating system detects unreachable remote hosts.
 *
 * <p>An idle connection sends nothing, and neither does one that waits for a response. Without
 * keep-alive probes, their loss is detected only when a request on them times out.
 *
 * @since 0.2
 */
public final class TcpKeepAlive {
    private static final int IDLE_SECONDS = 1;
    private static final int INTERVAL_SECONDS = 1;
    private static final int UNANSWERED_PROBES = 2;

    private TcpKeepAlive() {}

    /** Enables keep-alive probes; a connection without a reply to them is reset after 3 s. */
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

    /** Enables keep-alive probes on an accepted connection. */
    public static void configure(ChannelConfig config) {
        config.setOption(ChannelOption.SO_KEEPALIVE, true);
        config.setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
        config.setOption(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
        config.setOption(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), UNANSWERED_PROBES);
    }
}
