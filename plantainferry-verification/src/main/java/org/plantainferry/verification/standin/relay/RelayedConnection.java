package org.plantainferry.verification.standin.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Joins one accepted connection with its connection to the destination. */
final class RelayedConnection {
    private final TcpRelay mRelay;
    private final Channel mAccepted;
    private final InetSocketAddress mDestination;
    private final String mDestinationHostPort;
    private final String mSource;
    private Optional<RelayDirection> mToDestination = Optional.empty();
    private Optional<RelayDirection> mToSource = Optional.empty();
    private boolean mConnecting;

    RelayedConnection(TcpRelay relay, Channel accepted, InetSocketAddress destination) {
        mRelay = relay;
        mAccepted = accepted;
        mDestination = destination;
        mDestinationHostPort = TcpRelay.hostPort(destination);
        mSource = ((InetSocketAddress) accepted.remoteAddress()).getAddress().getHostAddress();
    }

    boolean isCut() {
        return mRelay.cuts().find(mSource, mDestinationHostPort).isPresent();
    }

    long delayMillis() {
        return mRelay.delayMillis(mDestinationHostPort);
    }

    /** Begins with an accepted connection from which nothing has been read. */
    void start() {
        Optional<CutMode> cut = mRelay.cuts().find(mSource, mDestinationHostPort);
        if (cut.isEmpty()) {
            connectAfterDelay();
        } else if (cut.get() == CutMode.REFUSE) {
            reset();
        }
    }

    /** Continues after a change of the cuts. */
    void resume() {
        mAccepted.eventLoop().execute(this::resumeOnEventLoop);
    }

    /** Forgets the link once one end has closed and the other has been told. */
    void deregister() {
        mRelay.remove(this);
    }

    void close() {
        mAccepted
                .eventLoop()
                .execute(
                        () -> {
                            mToDestination.ifPresent(RelayDirection::discardQueue);
                            mToSource.ifPresent(RelayDirection::discardQueue);
                            mAccepted.close();
                        });
    }

    private void resumeOnEventLoop() {
        if (isCut()) {
            return;
        }
        if (mToDestination.isEmpty()) {
            connectAfterDelay();
        }
        mToDestination.ifPresent(RelayDirection::forwardDueChunks);
        mToSource.ifPresent(RelayDirection::forwardDueChunks);
    }

    private void connectAfterDelay() {
        if (mConnecting) {
            return;
        }
        mConnecting = true;
        mAccepted.eventLoop().schedule(this::connect, delayMillis(), TimeUnit.MILLISECONDS);
    }

    private void connect() {
        // The destination tells callers apart by source address, so the relay keeps it.
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mAccepted.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(mDestination, new InetSocketAddress(mSource, 0));
        connecting.addListener(
                (ChannelFutureListener)
                        future -> {
                            if (future.isSuccess()) {
                                startForwarding(future.channel());
                            } else {
                                reset();
                            }
                        });
    }

    private void startForwarding(Channel connected) {
        RelayDirection forward = new RelayDirection(this, mAccepted, connected);
        RelayDirection backward = new RelayDirection(this, connected, mAccepted);
        mToDestination = Optional.of(forward);
        mToSource = Optional.of(backward);
        mAccepted.pipeline().addLast(forward);
        connected.pipeline().addLast(backward);
        if (!mAccepted.isActive()) {
            connected.close();
            deregister();
            return;
        }
        mAccepted.config().setAutoRead(true);
        connected.config().setAutoRead(true);
    }

    private void reset() {
        mAccepted.config().setOption(ChannelOption.SO_LINGER, 0);
        mAccepted.close();
        deregister();
    }
}
