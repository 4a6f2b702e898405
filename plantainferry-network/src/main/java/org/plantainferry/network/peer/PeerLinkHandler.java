package org.plantainferry.network.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.IdleStateEvent;
import org.plantainferry.network.peer.generated.PeerMessage;

/** Forwards the events of one outgoing connection to its link. */
final class PeerLinkHandler extends SimpleChannelInboundHandler<PeerMessage> {
    private final PeerLink mLink;

    PeerLinkHandler(PeerLink link) {
        mLink = link;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (context.pipeline().get(SslHandler.class) == null) {
            mLink.onReady(context.channel());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
        mLink.onAnswer(context.channel(), message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mLink.onClosed(context.channel(), "the peer closed the connection");
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof IdleStateEvent) {
            context.close();
            return;
        }
        if (event instanceof SslHandshakeCompletionEvent handshake && handshake.isSuccess()) {
            mLink.onReady(context.channel());
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mLink.onClosed(context.channel(), String.valueOf(cause.getMessage()));
        context.close();
    }
}
