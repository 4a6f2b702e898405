package org.plantainferry.verification.standin;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Listens for HTTP at one address and keeps track of every TCP connection.
 *
 * <p>Undertow's own listener shows a connection only after its first request and leaves connections
 * open when it stops. A stand-in counts connections when they are accepted and closes them all when
 * its server goes down.
 *
 * @since 0.1
 */
public final class HttpEndpoint implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 1_000;
    private static final ByteBufferPool BUFFER_POOL = new DefaultByteBufferPool(true, BUFFER_BYTES);

    private final InetSocketAddress mAddress;
    private final XnioWorker mWorker;
    private final HttpOpenListener mHttpListener;
    private final int mConnectionLimit;
    private final Map<StreamConnection, SocketAddress> mConnections = new ConcurrentHashMap<>();
    private final Set<SocketAddress> mPeersAboveLimit = ConcurrentHashMap.newKeySet();
    private Optional<AcceptingChannel<StreamConnection>> mServerChannel = Optional.empty();
    private int mPeakConnections;

    /**
     * Creates an endpoint that does not listen yet.
     *
     * @param connectionLimit connections above this number are accepted but reported by {@link
     *     #isAboveConnectionLimit}
     */
    public HttpEndpoint(
            InetSocketAddress address,
            XnioWorker worker,
            int connectionLimit,
            HttpHandler handler) {
        mAddress = address;
        mWorker = worker;
        mConnectionLimit = connectionLimit;
        mHttpListener =
                new HttpOpenListener(
                        BUFFER_POOL,
                        OptionMap.create(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false));
        mHttpListener.setRootHandler(handler);
    }

    /**
     * Creates the threads that serve the endpoints of one stand-in.
     *
     * @param taskThreads the number of requests that may block at the same time
     */
    public static XnioWorker createWorker(int taskThreads) {
        try {
            return Xnio.getInstance()
                    .createWorker(
                            OptionMap.builder()
                                    .set(Options.WORKER_IO_THREADS, 2)
                                    .set(Options.WORKER_TASK_CORE_THREADS, taskThreads)
                                    .set(Options.WORKER_TASK_MAX_THREADS, taskThreads)
                                    .set(Options.THREAD_DAEMON, false)
                                    .getMap());
        } catch (IOException e) {
            throw new IllegalStateException("cannot start the threads of a stand-in", e);
        }
    }

    /** Returns the address with the given text of the form HOST:PORT. */
    public static InetSocketAddress parseAddress(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("not HOST:PORT: " + hostAndPort);
        }
        return new InetSocketAddress(
                hostAndPort.substring(0, colon),
                Integer.parseInt(hostAndPort.substring(colon + 1)));
    }

    /** Starts to listen; does nothing when it listens already. */
    public synchronized void start() {
        if (mServerChannel.isPresent()) {
            return;
        }
        OptionMap options =
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .getMap();
        try {
            AcceptingChannel<StreamConnection> channel =
                    mWorker.createStreamConnectionServer(
                            mAddress, ChannelListeners.openListenerAdapter(this::accept), options);
            channel.resumeAccepts();
            mServerChannel = Optional.of(channel);
        } catch (IOException e) {
            throw new IllegalStateException("cannot listen at " + mAddress, e);
        }
    }

    /** Stops listening and closes every connection without an answer. */
    public synchronized void stop() {
        mServerChannel.ifPresent(IoUtils::safeClose);
        mServerChannel = Optional.empty();
        closeConnections();
    }

    /** Closes every connection from a source address without an answer. */
    public void closeConnectionsFrom(InetAddress source) {
        mConnections.forEach(
                (connection, peer) -> {
                    if (((InetSocketAddress) peer).getAddress().equals(source)) {
                        IoUtils.safeClose(connection);
                    }
                });
    }

    /** Returns the address at which it listens, with the actual port when 0 was asked for. */
    public synchronized InetSocketAddress address() {
        return mServerChannel.map(c -> c.getLocalAddress(InetSocketAddress.class)).orElse(mAddress);
    }

    /** Returns whether the connection of this peer was above the limit when it was accepted. */
    public boolean isAboveConnectionLimit(SocketAddress peer) {
        return mPeersAboveLimit.contains(peer);
    }

    /** Returns the number of open connections. */
    public synchronized int connectionCount() {
        removeClosedConnections();
        return mConnections.size();
    }

    /** Returns the highest number of connections that were open at the same time. */
    public synchronized int peakConnections() {
        return mPeakConnections;
    }

    @Override
    public void close() {
        stop();
    }

    private void accept(StreamConnection connection) {
        synchronized (this) {
            removeClosedConnections();
            SocketAddress peer = connection.getPeerAddress();
            if (mServerChannel.isEmpty() || peer == null) {
                IoUtils.safeClose(connection);
                return;
            }
            mConnections.put(connection, peer);
            mPeakConnections = Math.max(mPeakConnections, mConnections.size());
            if (mConnections.size() > mConnectionLimit) {
                mPeersAboveLimit.add(peer);
            }
        }
        mHttpListener.handleEvent(connection);
    }

    private void removeClosedConnections() {
        mConnections
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean closed = !entry.getKey().isOpen();
                            if (closed) {
                                mPeersAboveLimit.remove(entry.getValue());
                            }
                            return closed;
                        });
    }

    private void closeConnections() {
        mConnections.keySet().forEach(IoUtils::safeClose);
    }
}
