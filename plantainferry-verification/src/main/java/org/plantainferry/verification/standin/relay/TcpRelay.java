package org.plantainferry.verification.standin.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Forwards TCP connections with a one-way delay, and cuts and heals them on request.
 *
 * <p>Cuts and delays identify a destination as IP:PORT; {@code *} matches all sources or
 * destinations. The connection to the destination is opened from the IP address of the caller,
 * which must be a loopback address. When one side closes a connection, the other side is closed
 * after the delay or, during a cut, after the cut is healed.
 *
 * @since 0.1
 */
public final class TcpRelay implements AutoCloseable {
    private static final int EVENT_LOOP_THREADS = 4;
    private static final int BACKLOG = 1_000;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    private final CutTable mCuts = new CutTable();
    private final Map<String, Long> mDelayMillisByDestination = new ConcurrentHashMap<>();
    private final Set<RelayedConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final List<Channel> mServerChannels = new CopyOnWriteArrayList<>();

    /** Creates a relay without routes; add routes with {@link #addRoute}. */
    public TcpRelay() {}

    /**
     * Listens on an address and forwards its connections to a destination.
     *
     * @param listen the address; port 0 selects a free port
     * @return the address on which the relay listens
     */
    public InetSocketAddress addRoute(InetSocketAddress listen, InetSocketAddress destination) {
        Channel channel =
                new ServerBootstrap()
                        .group(mEventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel accepted) {
                                        startConnection(
                                                new RelayedConnection(
                                                        TcpRelay.this, accepted, destination));
                                    }
                                })
                        .bind(listen)
                        .syncUninterruptibly()
                        .channel();
        mServerChannels.add(channel);
        return (InetSocketAddress) channel.localAddress();
    }

    /** Sets the one-way delay, in milliseconds, of both directions of a destination. */
    public void setDelayMillis(String destination, long millis) {
        mDelayMillisByDestination.put(destination, millis);
    }

    /**
     * Cuts connections: existing ones stop forwarding data, new ones hang or are reset.
     *
     * @param sourceIp the source IP address of the connections, or {@code *}
     * @param destination IP:PORT of their destination, or {@code *}
     */
    public void cut(String sourceIp, String destination, CutMode mode) {
        mCuts.cut(sourceIp, destination, mode);
    }

    /** Heals the cut with the same source and destination; held bytes are forwarded. */
    public void heal(String sourceIp, String destination) {
        mCuts.heal(sourceIp, destination);
        mConnections.forEach(RelayedConnection::resume);
    }

    /** Returns the number of connections that are open or whose close was not yet forwarded. */
    public int connectionCount() {
        return mConnections.size();
    }

    @Override
    public void close() {
        mServerChannels.forEach(channel -> channel.close().syncUninterruptibly());
        mConnections.forEach(RelayedConnection::close);
        mEventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    CutTable cuts() {
        return mCuts;
    }

    long delayMillis(String destination) {
        Long delay = mDelayMillisByDestination.get(destination);
        return delay != null ? delay : mDelayMillisByDestination.getOrDefault(CutTable.ANY, 0L);
    }

    void remove(RelayedConnection link) {
        mConnections.remove(link);
    }

    static String hostPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void startConnection(RelayedConnection link) {
        mConnections.add(link);
        link.start();
    }
}
