package org.plantainferry.network.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.concurrent.CompletableFuture;
import org.plantainferry.network.log.NetworkEvent;
import org.plantainferry.network.peer.generated.PeerMessage;

/** Passes the messages of one incoming connection to the handler and writes the answers. */
final class PeerListenerHandler extends SimpleChannelInboundHandler<PeerMessage> {

    private final PeerHandler mHandler;
    private final int mMaximumCallsInProgress;

    // Confined to the event loop of the channel.
    private int mCallsInProgress;

    PeerListenerHandler(PeerHandler handler, int maximumCallsInProgress) {
        mHandler = handler;
        mMaximumCallsInProgress = maximumCallsInProgress;
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
        long callNumber = message.getCall();
        if (callNumber == 0 || answer == null) {
            return;
        }
        mCallsInProgress++;
        updateAutoRead(context);
        answer.whenComplete(
                (value, error) ->
                        context.executor()
                                .execute(() -> onHandled(context, callNumber, value, error)));
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
            ChannelHandlerContext context, long callNumber, PeerMessage answer, Throwable error) {
        mCallsInProgress--;
        updateAutoRead(context);
        if (error != null) {
            NetworkEvent.PEER_MESSAGE_FAILED.logWithCause(error, context.channel());
        } else if (answer != null) {
            context.writeAndFlush(answer.toBuilder().setCall(callNumber).build());
        }
    }

    // Applies backpressure: reading stops while too many calls are in progress or the peer does not
    // read its answers.
    private void updateAutoRead(ChannelHandlerContext context) {
        boolean autoRead =
                mCallsInProgress < mMaximumCallsInProgress && context.channel().isWritable();
        context.channel().config().setAutoRead(autoRead);
    }
}
