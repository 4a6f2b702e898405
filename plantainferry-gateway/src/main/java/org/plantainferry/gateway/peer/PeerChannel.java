package org.plantainferry.gateway.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.network.http.SocketAddresses;

/**
 * Exchanges datagrams with other instances; lost datagrams are not sent again.
 *
 * @since 0.2
 */
public final class PeerChannel {
    private final Channel mChannel;

    /** Binds the port; datagrams are buffered by the operating system until {@link #listen}. */
    public PeerChannel(EventLoop loop, String localAddress, int port) {
        mChannel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(new ChannelInboundHandlerAdapter())
                        .bind(SocketAddresses.parse(localAddress + ":" + port))
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Starts to receive messages; must be called once.
     *
     * @param listener receives each message with the address of its sender, on the event loop
     */
    public void listen(BiConsumer<InstanceMessage, InetSocketAddress> listener) {
        mChannel.pipeline().addLast(new Receiver(listener));
        mChannel.config().setAutoRead(true);
    }

    /** Sends a message without detecting an unreachable receiver. */
    public void send(InstanceMessage message, InetSocketAddress receiver) {
        mChannel.writeAndFlush(
                new DatagramPacket(Unpooled.wrappedBuffer(message.toByteArray()), receiver),
                mChannel.voidPromise());
    }

    /** Sends a message to an address of the form IP:PORT; logs an invalid address. */
    public void send(InstanceMessage message, String receiver) {
        try {
            send(message, SocketAddresses.parse(receiver));
        } catch (PlantainferryException e) {
            GatewayEvent.UNEXPECTED.log("peer address", e.getMessage());
        }
    }

    private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final BiConsumer<InstanceMessage, InetSocketAddress> mListener;

        Receiver(BiConsumer<InstanceMessage, InetSocketAddress> listener) {
            mListener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                byte[] bytes = ByteBufUtil.getBytes(packet.content());
                mListener.accept(InstanceMessage.parseFrom(bytes), packet.sender());
            } catch (InvalidProtocolBufferException e) {
                GatewayEvent.UNEXPECTED.log("peer message", e.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A datagram to a closed port may be reported as an error of a later operation.
            GatewayEvent.UNEXPECTED.log("peer channel", cause);
        }
    }
}
