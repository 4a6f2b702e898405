package org.plantainferry.verification.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.LongAdder;

/**
 * Passes TCP connections on to one address and counts the bytes of both directions.
 *
 * <p>The counts are payload, without the headers of TCP and IP.
 */
final class CountingRelay implements AutoCloseable {
    private final Channel mListener;
    private final LongAdder mBytes;

    /** Opens a listener on a free loopback port. */
    CountingRelay(EventLoopGroup group, InetSocketAddress target, LongAdder bytes) {
        mBytes = bytes;
        mListener =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        connect(channel, target);
                                    }
                                })
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .syncUninterruptibly()
                        .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    private void connect(SocketChannel near, InetSocketAddress target) {
        new Bootstrap()
                .group(near.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ForwardingHandler(near))
                .connect(target)
                .addListener(
                        (ChannelFuture done) -> {
                            if (done.isSuccess()) {
                                near.pipeline().addLast(new ForwardingHandler(done.channel()));
                                near.config().setAutoRead(true);
                            } else {
                                near.close();
                            }
                        });
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
    }

    private final class ForwardingHandler extends ChannelInboundHandlerAdapter {
        private final Channel mDestination;

        ForwardingHandler(Channel other) {
            mDestination = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf) {
                mBytes.add(((ByteBuf) message).readableBytes());
                mDestination.writeAndFlush(message);
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mDestination.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
