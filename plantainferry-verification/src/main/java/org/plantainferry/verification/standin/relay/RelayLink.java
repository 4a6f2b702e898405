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
final class RelayLink {
    private final TcpRelay mRelay;
    private final Channel mAccepted;
    private final InetSocketAddress mDestination;
    private final String mDestinationName;
    private final String mSource;
    private Optional<RelayDirection> mForward = Optional.empty();
    private Optional<RelayDirection> mBackward = Optional.empty();
    private boolean mConnecting;

    RelayLink(TcpRelay relay, Channel accepted, InetSocketAddress destination) {
        mRelay = relay;
        mAccepted = accepted;
        mDestination = destination;
        mDestinationName = TcpRelay.name(destination);
        mSource = ((InetSocketAddress) accepted.remoteAddress()).getAddress().getHostAddress();
    }

    boolean isCut() {
        return mRelay.cuts().find(mSource, mDestinationName).isPresent();
    }

    long delayMillis() {
        return mRelay.delayMillis(mDestinationName);
    }

    /** Begins with an accepted connection from which nothing has been read. */
    void begin() {
        Optional<CutMode> cut = mRelay.cuts().find(mSource, mDestinationName);
        if (cut.isEmpty()) {
            connectAfterDelay();
        } else if (cut.get() == CutMode.REFUSE) {
            reset();
        }
    }

    /** Continues after a change of the cuts. */
    void resume() {
        mAccepted.eventLoop().execute(this::resumeInLoop);
    }

    /** Forgets the link once one end has closed and the other has been told. */
    void ended() {
        mRelay.remove(this);
    }

    void close() {
        mAccepted
                .eventLoop()
                .execute(
                        () -> {
                            mForward.ifPresent(RelayDirection::release);
                            mBackward.ifPresent(RelayDirection::release);
                            mAccepted.close();
                        });
    }

    private void resumeInLoop() {
        if (isCut()) {
            return;
        }
        if (mForward.isEmpty()) {
            connectAfterDelay();
        }
        mForward.ifPresent(RelayDirection::drain);
        mBackward.ifPresent(RelayDirection::drain);
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
                                join(future.channel());
                            } else {
                                reset();
                            }
                        });
    }

    private void join(Channel connected) {
        RelayDirection forward = new RelayDirection(this, mAccepted, connected);
        RelayDirection backward = new RelayDirection(this, connected, mAccepted);
        mForward = Optional.of(forward);
        mBackward = Optional.of(backward);
        mAccepted.pipeline().addLast(forward);
        connected.pipeline().addLast(backward);
        if (!mAccepted.isActive()) {
            connected.close();
            ended();
            return;
        }
        mAccepted.config().setAutoRead(true);
        connected.config().setAutoRead(true);
    }

    private void reset() {
        mAccepted.config().setOption(ChannelOption.SO_LINGER, 0);
        mAccepted.close();
        ended();
    }
}
