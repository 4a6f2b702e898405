package org.plantainferry.gateway.passing;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.function.LongSupplier;
import org.plantainferry.gateway.peer.PeerProtocol;
import org.plantainferry.network.http.TcpKeepAlive;

/**
 * Accepts links over which other instances pass operations, and moves them to the traffic thread.
 *
 * <p>The other instance sends nothing after the first line until it is greeted, so that no message
 * arrives during the move.
 *
 * @since 0.4
 */
public final class PassingProtocol implements PeerProtocol {
    private final EventLoop mLoop;
    private final String mInstance;
    private final OperationHost mHost;
    private final LongSupplier mClock;

    /**
     * Creates the protocol.
     *
     * @param loop the event loop of the traffic thread
     * @param instance the name of this instance
     * @param clock time that includes suspensions of the machine, in nanoseconds
     */
    public PassingProtocol(
            EventLoop loop, String instance, OperationHost host, LongSupplier clock) {
        mLoop = loop;
        mInstance = instance;
        mHost = host;
        mClock = clock;
    }

    @Override
    public void accept(Channel channel, String argument) {
        channel.config().setAutoRead(false);
        channel.config()
                .setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, PassingChannels.waterMark());
        // Transactions of an instance whose machine is lost must end.
        TcpKeepAlive.configure(channel.config());
        channel.deregister()
                .addListener(
                        (ChannelFuture left) -> {
                            if (left.isSuccess()) {
                                mLoop.register(channel).addListener(this::onMoved);
                            } else {
                                channel.close();
                            }
                        });
    }

    private void onMoved(Future<? super Void> moved) {
        Channel channel = ((ChannelFuture) moved).channel();
        if (!moved.isSuccess() || !channel.isActive()) {
            channel.close();
            return;
        }
        AcceptedLink link = new AcceptedLink(mInstance, mHost, mClock);
        PassingChannels.build(channel.pipeline(), link);
        link.greet(channel);
        channel.config().setAutoRead(true);
    }
}
