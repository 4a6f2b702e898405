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
 * Forwards TCP connections to one address and counts the bytes in both directions.
 *
 * <p>Only payload counts, without TCP and IP headers.
 */
final class CountingRelay implements AutoCloseable {
    private final Channel mListener;
    private final LongAdder mBytes;

    /**
     * Opens a listener on a free loopback port.
     *
     * @param eventLoops the event loops of the connections
     * @param target the address to forward to
     * @param bytes the counter to add the forwarded bytes to
     */
    CountingRelay(EventLoopGroup eventLoops, InetSocketAddress target, LongAdder bytes) {
        mBytes = bytes;
        mListener =
                new ServerBootstrap()
                        .group(eventLoops)
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

    /** Connects to the target; an inbound connection is closed if this fails. */
    private void connect(SocketChannel inbound, InetSocketAddress target) {
        new Bootstrap()
                .group(inbound.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ForwardingHandler(inbound))
                .connect(target)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                inbound.pipeline()
                                        .addLast(new ForwardingHandler(connected.channel()));
                                inbound.config().setAutoRead(true);
                            } else {
                                inbound.close();
                            }
                        });
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
    }

    /** Counts what one channel receives and writes it to another one. */
    private final class ForwardingHandler extends ChannelInboundHandlerAdapter {
        private final Channel mDestination;

        ForwardingHandler(Channel destination) {
            mDestination = destination;
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
