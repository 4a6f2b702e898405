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
import java.util.Map;
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

    private final EventLoop mLoop;
    private final String mLocalAddress;
    private final Map<String, PeerProtocol> mProtocols;

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

    /** Hands a connection over to the protocol that its first line names. */
    private final class FirstLineReader extends SimpleChannelInboundHandler<String> {
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
