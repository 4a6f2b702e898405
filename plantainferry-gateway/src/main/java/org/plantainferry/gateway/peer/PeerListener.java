package org.plantainferry.gateway.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.network.http.SocketAddresses;

/**
 * Accepts connections of other instances.
 *
 * <p>The first line of a connection names its purpose and an argument, separated by a space. The
 * {@link PeerProtocol} of that purpose serves the rest of the connection.
 *
 * @since 0.3
 */
public final class PeerListener {
    /** The purpose of a connection that is forwarded to a server, which the argument names. */
    public static final String RELAY = "relay";

    /** The purpose of a connection over which the feeds of the store are passed on. */
    public static final String FEEDS = "feeds";

    /** The purpose of a connection over which operations are passed to this instance. */
    public static final String STATEMENTS = "statements";

    private static final int MAX_FIRST_LINE_BYTES = 300;
    private static final int BACKLOG = 256;
    // Far more than one connection for each purpose, and each relayed server, of each instance.
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int FIRST_LINE_TIMEOUT_SECONDS = 5;

    private final EventLoop mLoop;
    private final String mLocalAddress;
    private final Map<String, PeerProtocol> mProtocols;
    private int mConnections;

    /**
     * Creates a listener; {@link #start} opens it.
     *
     * @param protocols the protocol of each purpose
     */
    public PeerListener(EventLoop loop, String localAddress, Map<String, PeerProtocol> protocols) {
        mLoop = loop;
        mLocalAddress = localAddress;
        mProtocols = Map.copyOf(protocols);
    }

    /** Returns the first line of a connection, with its end. */
    public static String firstLine(String purpose, String argument) {
        return purpose + " " + argument + "\n";
    }

    /** Opens the listener at a port of the local address, and blocks until it is bound. */
    public void start(int port) {
        new ServerBootstrap()
                .group(mLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                if (!admit(channel)) {
                                    return;
                                }
                                LineBasedFrameDecoder lineDecoder =
                                        new LineBasedFrameDecoder(MAX_FIRST_LINE_BYTES);
                                // Only the first line is addressed to the listener.
                                lineDecoder.setSingleDecode(true);
                                channel.pipeline()
                                        .addLast(lineDecoder)
                                        .addLast(new StringDecoder())
                                        .addLast(new FirstLineReader());
                            }
                        })
                .bind(SocketAddresses.parse(mLocalAddress + ":" + port))
                .syncUninterruptibly();
    }

    /** Closes a connection if there are too many; counts it until its end otherwise. */
    private boolean admit(SocketChannel channel) {
        if (mConnections >= MAX_CONNECTIONS) {
            GatewayEvent.TOO_MANY_PEER_CONNECTIONS.log(MAX_CONNECTIONS);
            channel.close();
            return false;
        }
        mConnections++;
        channel.closeFuture().addListener(closed -> mConnections--);
        return true;
    }

    /** Hands a connection over to the protocol that its first line names. */
    private final class FirstLineReader extends SimpleChannelInboundHandler<String> {
        private ScheduledFuture<?> mTimeout;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            mTimeout =
                    context.executor()
                            .schedule(
                                    () -> context.close(),
                                    FIRST_LINE_TIMEOUT_SECONDS,
                                    TimeUnit.SECONDS);
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            if (mTimeout != null) {
                mTimeout.cancel(false);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            String[] words = line.split(" ", 2);
            PeerProtocol protocol = mProtocols.get(words[0]);
            if (protocol == null) {
                GatewayEvent.PEER_CONNECTION_REFUSED.log(words[0]);
                context.close();
                return;
            }
            context.pipeline().remove(StringDecoder.class);
            protocol.accept(context.channel(), words.length > 1 ? words[1] : "");
            context.pipeline().remove(this);
            // Removing the decoder forwards the bytes that were received after the first line.
            context.pipeline().remove(LineBasedFrameDecoder.class);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset, or a first line that is too long.
            context.close();
        }
    }
}
