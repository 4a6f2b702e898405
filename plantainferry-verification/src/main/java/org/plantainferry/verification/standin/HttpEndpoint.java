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
 * <p>Undertow's own listener reports a connection only after its first request and leaves
 * connections open when it stops. A stand-in counts connections when they are accepted and closes
 * all of them when its server stops.
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
     * Creates an endpoint that does not listen until {@link #start} is called.
     *
     * @param connectionLimit connections above this number are accepted, but reported by {@link
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
     * Creates the I/O and task threads that serve the endpoints of one stand-in.
     *
     * @param taskThreads the number of requests that can block at the same time
     * @throws IllegalStateException when the threads cannot be started
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
            throw new IllegalStateException("cannot create the I/O worker of a stand-in", e);
        }
    }

    /**
     * Parses an address of the form HOST:PORT.
     *
     * @throws IllegalArgumentException when the text does not have this form
     */
    public static InetSocketAddress parseAddress(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException(
                    "address is not of the form HOST:PORT: " + hostAndPort);
        }
        return new InetSocketAddress(
                hostAndPort.substring(0, colon),
                Integer.parseInt(hostAndPort.substring(colon + 1)));
    }

    /**
     * Starts to listen; has no effect when it is already listening.
     *
     * @throws IllegalStateException when the address cannot be bound
     */
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
            throw new IllegalStateException("cannot listen on " + mAddress, e);
        }
    }

    /** Stops listening and closes all connections without responses; can be started again. */
    public synchronized void stop() {
        mServerChannel.ifPresent(IoUtils::safeClose);
        mServerChannel = Optional.empty();
        closeConnections();
    }

    /** Closes all connections from a source address without responses. */
    public void closeConnectionsFrom(InetAddress source) {
        mConnections.forEach(
                (connection, peer) -> {
                    if (((InetSocketAddress) peer).getAddress().equals(source)) {
                        IoUtils.safeClose(connection);
                    }
                });
    }

    /**
     * Returns the listening address, with the assigned port when port 0 was requested; while not
     * listening, the configured address.
     */
    public synchronized InetSocketAddress address() {
        return mServerChannel.map(c -> c.getLocalAddress(InetSocketAddress.class)).orElse(mAddress);
    }

    /** Returns whether the connection of this peer exceeded the limit when it was accepted. */
    public boolean isAboveConnectionLimit(SocketAddress peer) {
        return mPeersAboveLimit.contains(peer);
    }

    /** Returns the number of open connections. */
    public synchronized int connectionCount() {
        removeClosedConnections();
        return mConnections.size();
    }

    /** Returns the highest number of connections that have been open at the same time. */
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
