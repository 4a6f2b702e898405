package org.plantainferry.gateway.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Function;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.PeerProtocol;
import org.plantainferry.network.http.SocketAddresses;

/**
 * Forwards connections of other instances to servers of the catalog.
 *
 * <p>The bytes are forwarded unparsed.
 *
 * @since 0.2
 */
public final class RelayServer implements PeerProtocol {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int RESET_ON_CLOSE_SECONDS = 0;

    private final EventLoop mLoop;
    private final String mLocalAddress;
    private final Function<String, Optional<CatalogServer>> mServerLookup;

    /**
     * Creates a relay.
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

    @Override
    public void accept(Channel caller, String serverId) {
        Optional<CatalogServer> server = mServerLookup.apply(serverId);
        if (server.isEmpty()) {
            GatewayEvent.RELAY_REFUSED.log(serverId, "the server is not in the catalog");
            caller.close();
            return;
        }
        // Reading stops until the connection to the server exists.
        caller.config().setAutoRead(false);
        Forwarder forwarder = new Forwarder();
        caller.pipeline().addLast(forwarder);
        connect(caller, forwarder, server.get());
    }

    private void connect(Channel caller, Forwarder forwarder, CatalogServer server) {
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                // What the other instance has given up must not reach the server later.
                .option(ChannelOption.SO_LINGER, RESET_ON_CLOSE_SECONDS)
                .option(ChannelOption.AUTO_READ, false)
                .localAddress(new InetSocketAddress(mLocalAddress, 0))
                .handler(new ChannelInboundHandlerAdapter())
                .connect(SocketAddresses.parse(server.address()))
                .addListener(
                        (ChannelFuture connected) -> connectChannels(caller, forwarder, connected));
    }

    private static void connectChannels(
            Channel caller, Forwarder forwarder, ChannelFuture connected) {
        if (!connected.isSuccess() || !caller.isActive()) {
            connected.channel().close();
            caller.close();
            return;
        }
        Channel server = connected.channel();
        Forwarder answers = new Forwarder();
        answers.forwardTo(caller);
        server.pipeline().addLast(answers);
        forwarder.forwardTo(server);
        caller.config().setAutoRead(true);
        server.config().setAutoRead(true);
        server.read();
    }

    /** Forwards bytes, with backpressure from the destination to the source. */
    private static final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Deque<Object> mEarlyMessages = new ArrayDeque<>();
        private Optional<Channel> mDestination = Optional.empty();

        /** Sets the destination, and forwards what was received before. */
        void forwardTo(Channel destination) {
            mDestination = Optional.of(destination);
            mEarlyMessages.forEach(
                    message -> destination.writeAndFlush(message, destination.voidPromise()));
            mEarlyMessages.clear();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mDestination.isEmpty()) {
                mEarlyMessages.add(message);
                return;
            }
            Channel destination = mDestination.get();
            destination.writeAndFlush(message, destination.voidPromise());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            mDestination.ifPresent(
                    destination ->
                            destination.config().setAutoRead(context.channel().isWritable()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mEarlyMessages.forEach(ReferenceCountUtil::release);
            mEarlyMessages.clear();
            mDestination.ifPresent(Channel::close);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The end of either connection ends the other one, which both ends notice.
            context.close();
        }
    }
}
