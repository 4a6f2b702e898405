package org.plantainferry.gateway.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Function;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.network.http.SocketAddresses;

/**
 * Accepts connections of other instances and forwards each to a server.
 *
 * <p>The first line of a connection contains the id of the server, which must be in the catalog.
 * All further bytes are forwarded unparsed.
 *
 * @since 0.2
 */
public final class RelayServer {
    private static final int MAX_SERVER_ID_BYTES = 256;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoop mLoop;
    private final String mLocalAddress;
    private final Function<String, Optional<CatalogServer>> mServerLookup;

    /**
     * Creates a relay; {@link #start} opens its listener.
     *
     * @param serverLookup finds a server by its id
     */
    public RelayServer(
            EventLoop loop,
            String localAddress,
            Function<String, Optional<CatalogServer>> serverLookup) {
        mLoop = loop;
        mLocalAddress = localAddress;
        mServerLookup = serverLookup;
    }

    /** Opens the listener at a port of the local address. */
    public void start(int port) {
        new ServerBootstrap()
                .group(mLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                LineBasedFrameDecoder lineDecoder =
                                        new LineBasedFrameDecoder(MAX_SERVER_ID_BYTES);
                                // Only the first line is addressed to the relay.
                                lineDecoder.setSingleDecode(true);
                                channel.pipeline()
                                        .addLast(lineDecoder)
                                        .addLast(new StringDecoder())
                                        .addLast(new ServerIdReader());
                            }
                        })
                .bind(SocketAddresses.parse(mLocalAddress + ":" + port))
                .syncUninterruptibly();
    }

    /** Reads the id of the server and connects to it. */
    private final class ServerIdReader extends SimpleChannelInboundHandler<String> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, String serverId) {
            Optional<CatalogServer> server = mServerLookup.apply(serverId);
            if (server.isEmpty()) {
                GatewayEvent.RELAY_REFUSED.log(serverId, "the server is not in the catalog");
                context.close();
                return;
            }
            // Reading stops until the connection to the server exists.
            context.channel().config().setAutoRead(false);
            context.pipeline().remove(StringDecoder.class);
            connect(context.channel(), this, server.get());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void connect(Channel caller, ServerIdReader reader, CatalogServer server) {
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .localAddress(new InetSocketAddress(mLocalAddress, 0))
                .handler(new ChannelInboundHandlerAdapter())
                .connect(SocketAddresses.parse(server.address()))
                .addListener(
                        (ChannelFuture connected) -> connectChannels(caller, reader, connected));
    }

    private static void connectChannels(
            Channel caller, ServerIdReader reader, ChannelFuture connected) {
        if (!connected.isSuccess() || !caller.isActive()) {
            connected.channel().close();
            caller.close();
            return;
        }
        Channel server = connected.channel();
        server.pipeline().addLast(new Forwarder(caller));
        caller.pipeline().addLast(new Forwarder(server));
        caller.pipeline().remove(reader);
        // Removing the decoder forwards the bytes that were received after the first line.
        caller.pipeline().remove(LineBasedFrameDecoder.class);
        caller.config().setAutoRead(true);
        server.config().setAutoRead(true);
        server.read();
    }

    /** Forwards bytes, with backpressure from the destination to the source. */
    private static final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel mDestination;

        Forwarder(Channel destination) {
            mDestination = destination;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mDestination.writeAndFlush(message, mDestination.voidPromise());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            mDestination.config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mDestination.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
