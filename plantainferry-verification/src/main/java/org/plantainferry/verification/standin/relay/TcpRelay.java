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
    private static final int THREADS = 4;
    private static final int BACKLOG = 1_000;
    private static final long SHUTDOWN_MILLIS = 2_000;

    private final EventLoopGroup mThreads =
            new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final CutTable mCuts = new CutTable();
    private final Map<String, Long> mDelays = new ConcurrentHashMap<>();
    private final Set<RelayLink> mLinks = ConcurrentHashMap.newKeySet();
    private final List<Channel> mListening = new CopyOnWriteArrayList<>();

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
                        .group(mThreads)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel accepted) {
                                        begin(new RelayLink(TcpRelay.this, accepted, destination));
                                    }
                                })
                        .bind(listen)
                        .syncUninterruptibly()
                        .channel();
        mListening.add(channel);
        return (InetSocketAddress) channel.localAddress();
    }

    /** Sets the delay of each direction towards and from a destination, in milliseconds. */
    public void setDelayMillis(String destination, long millis) {
        mDelays.put(destination, millis);
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
        mLinks.forEach(RelayLink::resume);
    }

    /** Returns the number of connections that are open or not yet reported as closed. */
    public int connectionCount() {
        return mLinks.size();
    }

    @Override
    public void close() {
        mListening.forEach(channel -> channel.close().syncUninterruptibly());
        mLinks.forEach(RelayLink::close);
        mThreads.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
    }

    CutTable cuts() {
        return mCuts;
    }

    long delayMillis(String destination) {
        Long delay = mDelays.get(destination);
        return delay != null ? delay : mDelays.getOrDefault(CutTable.ANY, 0L);
    }

    void remove(RelayLink link) {
        mLinks.remove(link);
    }

    static String name(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void begin(RelayLink link) {
        mLinks.add(link);
        link.begin();
    }
}
