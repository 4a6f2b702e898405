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
 * Accepts connections of other instances and joins each with a connection to a server.
 *
 * <p>The first line of a connection names the server, which must be in the catalog; all further
 * bytes are passed on unread.
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
     * @param servers finds a server by its id
     */
    public RelayServer(
            EventLoop loop,
            String localAddress,
            Function<String, Optional<CatalogServer>> servers) {
        mLoop = loop;
        mLocalAddress = localAddress;
        mServerLookup = servers;
    }

    /** Opens the listener. */
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
                                LineBasedFrameDecoder lines =
                                        new LineBasedFrameDecoder(MAX_SERVER_ID_BYTES);
                                // Only the first line is for the relay.
                                lines.setSingleDecode(true);
                                channel.pipeline()
                                        .addLast(lines)
                                        .addLast(new StringDecoder())
                                        .addLast(new ServerIdReader());
                            }
                        })
                .bind(SocketAddresses.parse(mLocalAddress + ":" + port))
                .syncUninterruptibly();
    }

    /** Reads the name of the server and joins the connections. */
    private final class ServerIdReader extends SimpleChannelInboundHandler<String> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, String name) {
            Optional<CatalogServer> server = mServerLookup.apply(name);
            if (server.isEmpty()) {
                GatewayEvent.RELAY_REFUSED.log(name, "the server is not in the catalog");
                context.close();
                return;
            }
            // Nothing more is read until the other side is there to take it.
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
                .addListener((ChannelFuture done) -> connectChannels(caller, reader, done));
    }

    private static void connectChannels(Channel caller, ServerIdReader reader, ChannelFuture done) {
        if (!done.isSuccess() || !caller.isActive()) {
            done.channel().close();
            caller.close();
            return;
        }
        Channel server = done.channel();
        server.pipeline().addLast(new Forwarder(caller));
        caller.pipeline().addLast(new Forwarder(server));
        caller.pipeline().remove(reader);
        // Bytes that came behind the name are handed on when their decoder is removed.
        caller.pipeline().remove(LineBasedFrameDecoder.class);
        caller.config().setAutoRead(true);
        server.config().setAutoRead(true);
        server.read();
    }

    /** Passes bytes on, and reads no faster than the other side takes them. */
    private static final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel mDestination;

        Forwarder(Channel other) {
            mDestination = other;
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
