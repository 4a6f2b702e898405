package org.plantainferry.gateway.feed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.PeerListener;
import org.plantainferry.gateway.peer.generated.FeedMessage;
import org.plantainferry.gateway.peer.generated.FeedSubscription;
import org.plantainferry.gateway.peer.generated.FeedUpdate;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.network.http.SocketAddresses;
import org.plantainferry.network.http.TcpKeepAlive;

/**
 * Receives the feeds of another instance over one connection.
 *
 * <p>Used by the control thread only.
 */
final class FeedLink {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    // Covers the connection, the subscription and the updates that this instance lacks.
    private static final long ACCEPTANCE_TIMEOUT_MILLIS = 1_500;

    /** Listens for the progress of a link, on the control thread. */
    interface Listener {
        /** Called when the other instance has sent all that was missing. */
        void onAccepted(FeedLink link);

        /** Called with each update, also before the acceptance. */
        void onUpdate(FeedLink link, FeedUpdate update);

        /** Called once when the link has ended, unless {@link FeedLink#close} was called. */
        void onEnded(FeedLink link);
    }

    private final InstanceEntry mSource;
    private final Listener mListener;
    private Optional<Channel> mChannel = Optional.empty();
    private boolean mAccepted;
    private boolean mEnded;

    FeedLink(InstanceEntry source, Listener listener) {
        mSource = source;
        mListener = listener;
    }

    InstanceEntry source() {
        return mSource;
    }

    boolean isAccepted() {
        return mAccepted;
    }

    /** Connects and subscribes; ends at once if the address of the other instance is invalid. */
    void open(EventLoop loop, String localAddress, FeedSubscription subscription) {
        try {
            connect(loop, localAddress, SocketAddresses.parse(mSource.peerAddress()), subscription);
        } catch (PlantainferryException e) {
            // The entry of an instance may come from another writer.
            GatewayEvent.FEED_LINK_FAILED.log(mSource.name(), e.getMessage());
            end();
        }
    }

    private void connect(
            EventLoop loop,
            String localAddress,
            InetSocketAddress address,
            FeedSubscription subscription) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .localAddress(new InetSocketAddress(localAddress, 0))
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        FeedChannels.build(channel.pipeline(), new Handler());
                                    }
                                });
        ChannelFuture connecting = TcpKeepAlive.configure(bootstrap).connect(address);
        mChannel = Optional.of(connecting.channel());
        connecting.addListener((ChannelFuture done) -> onConnected(done, subscription));
        loop.schedule(
                () -> {
                    if (!mAccepted) {
                        end();
                    }
                },
                ACCEPTANCE_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void onConnected(ChannelFuture done, FeedSubscription subscription) {
        if (!done.isSuccess()) {
            end();
            return;
        }
        String firstLine = PeerListener.firstLine(PeerListener.FEEDS, "");
        Channel channel = done.channel();
        // Written below the encoders, because the first line is not a message.
        channel.pipeline().firstContext().write(ByteBufUtil.writeAscii(channel.alloc(), firstLine));
        channel.writeAndFlush(FeedMessage.newBuilder().setSubscription(subscription).build());
    }

    private void end() {
        if (!mEnded) {
            close();
            mListener.onEnded(this);
        }
    }

    /** Closes the link; the listener is not called any more. */
    void close() {
        mEnded = true;
        mChannel.ifPresent(Channel::close);
    }

    private final class Handler extends SimpleChannelInboundHandler<FeedMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FeedMessage message) {
            if (mEnded) {
                return;
            }
            if (message.hasUpdate()) {
                mListener.onUpdate(FeedLink.this, message.getUpdate());
            }
            if (message.hasAcceptance()) {
                mAccepted = true;
                mListener.onAccepted(FeedLink.this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset or an unreadable message; another source or the store is followed next.
            GatewayEvent.FEED_LINK_FAILED.log(mSource.name(), cause.getMessage());
            end();
        }
    }
}
