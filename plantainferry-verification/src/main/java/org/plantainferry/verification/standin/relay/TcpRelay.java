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
 * Forwards TCP connections with a one-way delay, and cuts and heals them on demand.
 *
 * <p>Cuts and delays name a destination as IP:PORT, and {@code *} stands for all sources or
 * destinations. The connection to the destination is opened from the IP address of the caller,
 * which must be a loopback address. A connection that one end closes is closed at the other end
 * after the delay, or, during a cut, after it is healed.
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

    /** Creates a relay without routes; {@link #addRoute} adds them. */
    public TcpRelay() {}

    /**
     * Listens at an address and forwards its connections to a destination.
     *
     * @param listen the address; port 0 takes a free port
     * @return the address at which it listens
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

    /** Sets the delay of each direction towards and from a destination, in milliseconds. */
    public void setDelayMillis(String destination, long millis) {
        mDelayMillisByDestination.put(destination, millis);
    }

    /**
     * Cuts connections: existing ones stop passing bytes, new ones hang or are reset.
     *
     * @param sourceIp the IP address from which connections come, or {@code *}
     * @param destination IP:PORT to which they go, or {@code *}
     */
    public void cut(String sourceIp, String destination, CutMode mode) {
        mCuts.cut(sourceIp, destination, mode);
    }

    /** Heals a cut that was made with the same source and destination; held bytes pass on. */
    public void heal(String sourceIp, String destination) {
        mCuts.heal(sourceIp, destination);
        mConnections.forEach(RelayedConnection::resume);
    }

    /** Returns the number of connections that are open or not yet reported as closed. */
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
