package org.plantainferry.gateway.warmup;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.plantainferry.gateway.spi.WarmUpScript;
import org.plantainferry.gateway.traffic.LineCodec;

/** Listens on the loopback address and answers statements in the way of a server without data. */
final class WarmUpServer {
    private final WarmUpScript mScript;
    private final Channel mListener;

    /** Opens the listener at a free port and blocks until it is bound. */
    WarmUpServer(EventLoop loop, String loopback, WarmUpScript script) {
        mScript = script;
        mListener =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        LineCodec.addTo(channel.pipeline());
                                        channel.pipeline().addLast(new Handler());
                                    }
                                })
                        .bind(new InetSocketAddress(loopback, 0))
                        .syncUninterruptibly()
                        .channel();
    }

    /** Returns the address as IP:PORT. */
    String address() {
        InetSocketAddress address = (InetSocketAddress) mListener.localAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    void close() {
        mListener.close();
    }

    private final class Handler extends SimpleChannelInboundHandler<String> {
        private final WarmUpScript.ServerEnd mEnd = mScript.newServerEnd();

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            StringBuilder answer = new StringBuilder();
            mEnd.answer(line).forEach(text -> answer.append(text).append(LineCodec.LINE_END));
            context.writeAndFlush(answer.toString(), context.voidPromise());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The warm-up is over, or its connection was reset.
            context.close();
        }
    }
}
