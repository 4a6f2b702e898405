package org.plantainferry.gateway.warmup;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.plantainferry.gateway.spi.WarmUpScript;
import org.plantainferry.gateway.traffic.LineCodec;

/** Runs one session against a gateway's listener, as a caller. */
final class WarmUpSession extends SimpleChannelInboundHandler<String> {
    private final WarmUpScript mScript;
    private final List<String> mLines;
    private final Consumer<Boolean> mEndListener;
    private int mMissingAnswers;
    private boolean mEnded;

    /**
     * Creates a session; {@link #start} connects.
     *
     * @param endListener runs once, and receives whether all lines were answered
     */
    WarmUpSession(WarmUpScript script, List<String> lines, Consumer<Boolean> endListener) {
        mScript = script;
        mLines = lines;
        mEndListener = endListener;
        mMissingAnswers = lines.size();
    }

    void start(EventLoop loop, InetSocketAddress gateway) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                LineCodec.addTo(channel.pipeline());
                                channel.pipeline().addLast(WarmUpSession.this);
                            }
                        })
                .connect(gateway)
                .addListener((ChannelFuture done) -> onConnected(done));
    }

    private void onConnected(ChannelFuture done) {
        if (!done.isSuccess()) {
            end(false);
            return;
        }
        StringBuilder text = new StringBuilder();
        mLines.forEach(line -> text.append(line).append(LineCodec.LINE_END));
        done.channel().writeAndFlush(text.toString(), done.channel().voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, String line) {
        if (!mScript.isAnswerEnd(line)) {
            return;
        }
        mMissingAnswers--;
        if (mMissingAnswers == 0) {
            end(true);
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end(false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The end of the connection ends the session.
        context.close();
    }

    private void end(boolean complete) {
        if (!mEnded) {
            mEnded = true;
            mEndListener.accept(complete);
        }
    }
}
