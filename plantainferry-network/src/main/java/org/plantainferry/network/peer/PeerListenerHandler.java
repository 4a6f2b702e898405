package org.plantainferry.network.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import org.plantainferry.network.peer.generated.PeerMessage;

/** Hands the messages of one incoming connection on and sends the answers back. */
final class PeerListenerHandler extends SimpleChannelInboundHandler<PeerMessage> {
    private static final Logger LOG = Logger.getLogger(PeerListenerHandler.class);

    private final PeerHandler mHandler;
    private final int mMaximumInProgress;

    // Belongs to the event loop of the channel.
    private int mInProgress;

    PeerListenerHandler(PeerHandler handler, int maximumInProgress) {
        mHandler = handler;
        mMaximumInProgress = maximumInProgress;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
        CompletableFuture<PeerMessage> answer;
        try {
            answer = mHandler.handle(message);
        } catch (RuntimeException e) {
            LOG.warnf(e, "PF0201 cannot handle a message from %s", context.channel());
            return;
        }
        long call = message.getCall();
        if (call == 0 || answer == null) {
            return;
        }
        mInProgress++;
        pace(context);
        answer.whenComplete(
                (value, error) ->
                        context.executor().execute(() -> finish(context, call, value, error)));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        pace(context);
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof IdleStateEvent) {
            context.close();
            return;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debugf("PF0202 closing the peer connection %s: %s", context.channel(), cause);
        context.close();
    }

    private void finish(
            ChannelHandlerContext context, long call, PeerMessage value, Throwable error) {
        mInProgress--;
        pace(context);
        if (error != null) {
            LOG.warnf(error, "PF0201 cannot handle a message from %s", context.channel());
        } else if (value != null) {
            context.writeAndFlush(value.toBuilder().setCall(call).build());
        }
    }

    // A peer that sends faster than it is served, or does not read its answers, has to wait.
    private void pace(ChannelHandlerContext context) {
        boolean read = mInProgress < mMaximumInProgress && context.channel().isWritable();
        context.channel().config().setAutoRead(read);
    }
}
