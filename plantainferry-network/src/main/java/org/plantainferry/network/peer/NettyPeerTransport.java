package org.plantainferry.network.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.network.log.NetworkEvent;
import org.plantainferry.network.peer.generated.PeerMessage;

/**
 * Exchanges protobuf messages over TCP, with TLS when it is set.
 *
 * <p>Messages travel on the connection that their sender opened, and answers come back on the same
 * connection; so each side trusts only answers on connections that it opened itself. A message that
 * cannot be read closes its connection and no other.
 *
 * @since 0.1
 */
public final class NettyPeerTransport implements PeerTransport {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 2_000;
    // Random heartbeats reach each of 520 peers about every 90 s, so an idle connection is kept
    // for several times that.
    private static final int IDLE_TIMEOUT_SECONDS = 600;

    private final EventLoopGroup mGroup;
    private final PeerSettings mSettings;
    private final PeerHandler mHandler;
    private final ConcurrentHashMap<String, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final ChannelGroup mChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final AtomicLong mLastCallNumber = new AtomicLong(new SecureRandom().nextLong() >>> 2);
    private final Channel mListenerChannel;

    private volatile boolean mClosed;

    /**
     * Binds the listener and begins to answer.
     *
     * @param group the event loops, which the caller owns and keeps running until after {@link
     *     #close}
     * @param handler what answers the messages of peers
     * @throws PlantainferryException with {@code PEER_UNAVAILABLE} when the address cannot be bound
     */
    public NettyPeerTransport(EventLoopGroup group, PeerSettings settings, PeerHandler handler) {
        mGroup = Preconditions.notNull(group, "group");
        mSettings = Preconditions.notNull(settings, "settings");
        mHandler = Preconditions.notNull(handler, "handler");
        mListenerChannel = bindListener();
    }

    @Override
    public void send(String address, PeerMessage message) {
        Preconditions.notNull(message, "message");
        if (mClosed) {
            return;
        }
        try {
            linkTo(address).send(message.toBuilder().clearCall().build());
        } catch (PlantainferryException e) {
            NetworkEvent.PEER_MESSAGE_DROPPED.log(address, e.getMessage());
        }
    }

    @Override
    public CompletableFuture<PeerMessage> call(
            String address, PeerMessage message, long timeoutMillis) {
        Preconditions.notNull(message, "message");
        Preconditions.condition(timeoutMillis >= 1, "timeoutMillis must be at least 1");
        if (mClosed) {
            return CompletableFuture.failedFuture(
                    new PlantainferryException(
                            ErrorCode.PEER_UNAVAILABLE, "the transport is closed"));
        }
        PeerMessage numbered =
                message.toBuilder().setCall(mLastCallNumber.incrementAndGet()).build();
        try {
            return linkTo(address).call(numbered, timeoutMillis);
        } catch (PlantainferryException e) {
            return CompletableFuture.failedFuture(
                    new PlantainferryException(ErrorCode.PEER_UNAVAILABLE, e.getMessage(), e));
        }
    }

    /** Returns the address on which the listener is bound. */
    public InetSocketAddress listenAddress() {
        return (InetSocketAddress) mListenerChannel.localAddress();
    }

    @Override
    public void close() {
        mClosed = true;
        mListenerChannel.close();
        mLinks.values().forEach(PeerLink::close);
        mChannels.close();
    }

    private PeerLink linkTo(String address) {
        PeerLink known = mLinks.get(address);
        if (known != null) {
            return known;
        }
        // Addresses of instances that are gone would pile up otherwise.
        mLinks.values().removeIf(PeerLink::isUnused);
        return mLinks.computeIfAbsent(address, this::newLink);
    }

    private PeerLink newLink(String address) {
        return new PeerLink(address, mGroup.next(), this::connect, mSettings.maximumPending());
    }

    private ChannelFuture connect(PeerLink link, InetSocketAddress remote) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(link.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .handler(channelInitializer(true, () -> new PeerLinkHandler(link)));
        mSettings
                .localAddress()
                .ifPresent(local -> bootstrap.localAddress(new InetSocketAddress(local, 0)));
        return bootstrap.connect(remote);
    }

    private Channel bindListener() {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childHandler(
                                channelInitializer(
                                        false,
                                        () ->
                                                new PeerListenerHandler(
                                                        mHandler, mSettings.maximumPending())))
                        .bind(mSettings.listenAddress())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PlantainferryException(
                    ErrorCode.PEER_UNAVAILABLE,
                    "cannot listen for peers on "
                            + mSettings.listenAddress()
                            + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
        return bound.channel();
    }

    private ChannelInitializer<SocketChannel> channelInitializer(
            boolean outgoing, Supplier<ChannelHandler> last) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                mChannels.add(channel);
                mSettings
                        .tls()
                        .map(tls -> outgoing ? tls.client() : tls.server())
                        .ifPresent(tls -> channel.pipeline().addLast(tlsHandler(tls, channel)));
                PeerPipeline.build(channel.pipeline(), IDLE_TIMEOUT_SECONDS, last.get());
            }
        };
    }

    private static SslHandler tlsHandler(SslContext tls, SocketChannel channel) {
        SslHandler handler = tls.newHandler(channel.alloc());
        handler.setHandshakeTimeoutMillis(HANDSHAKE_TIMEOUT_MILLIS);
        return handler;
    }
}
