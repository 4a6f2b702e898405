package org.plantainferry.network.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.concurrent.CompletableFuture;
import org.plantainferry.network.log.NetworkEvent;
import org.plantainferry.network.peer.generated.PeerMessage;

/** Hands the messages of one incoming connection on and sends the answers back. */
final class PeerListenerHandler extends SimpleChannelInboundHandler<PeerMessage> {

    private final PeerHandler mHandler;
    private final int mMaximumCallsInProgress;

    // Belongs to the event loop of the channel.
    private int mCallsInProgress;

    PeerListenerHandler(PeerHandler handler, int maximumInProgress) {
        mHandler = handler;
        mMaximumCallsInProgress = maximumInProgress;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
        CompletableFuture<PeerMessage> answer;
        try {
            answer = mHandler.handle(message);
        } catch (RuntimeException e) {
            NetworkEvent.PEER_MESSAGE_FAILED.logWithCause(e, context.channel());
            return;
        }
        long call = message.getCall();
        if (call == 0 || answer == null) {
            return;
        }
        mCallsInProgress++;
        updateAutoRead(context);
        answer.whenComplete(
                (value, error) ->
                        context.executor().execute(() -> onHandled(context, call, value, error)));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        updateAutoRead(context);
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
        NetworkEvent.PEER_CONNECTION_CLOSED.log(context.channel(), cause);
        context.close();
    }

    private void onHandled(
            ChannelHandlerContext context, long call, PeerMessage value, Throwable error) {
        mCallsInProgress--;
        updateAutoRead(context);
        if (error != null) {
            NetworkEvent.PEER_MESSAGE_FAILED.logWithCause(error, context.channel());
        } else if (value != null) {
            context.writeAndFlush(value.toBuilder().setCall(call).build());
        }
    }

    // A peer that sends faster than it is served, or does not read its answers, has to wait.
    private void updateAutoRead(ChannelHandlerContext context) {
        boolean read = mCallsInProgress < mMaximumCallsInProgress && context.channel().isWritable();
        context.channel().config().setAutoRead(read);
    }
}
