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
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.network.http.SocketAddresses;

/**
 * Exchanges datagrams with other instances; lost datagrams are not sent again.
 *
 * <p>A message that is too long for one datagram is sent in fragments, and lost if one of them is.
 * Not thread-safe: used on the event loop only.
 *
 * @since 0.2
 */
public final class PeerChannel {
    /** The longest datagram that every build reads whole, in bytes. */
    public static final int MAX_DATAGRAM_BYTES = MessageFragments.MAX_DATAGRAM_BYTES;

    // Builds that know no fragments send longer messages in one datagram.
    private static final int RECEIVE_BUFFER_BYTES = 8_192;
    // A receive buffer that is set explicitly would read one datagram for each wake-up.
    private static final int MAX_DATAGRAMS_PER_READ = 16;

    private final Channel mChannel;
    private final MessageFragments mFragments;

    /** Binds the port; datagrams are buffered by the operating system until {@link #listen}. */
    public PeerChannel(EventLoop loop, String localAddress, int port) {
        mFragments = new MessageFragments(new Random());
        mChannel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES)
                                        .maxMessagesPerRead(MAX_DATAGRAMS_PER_READ))
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

    /**
     * Sends a message without detecting an unreachable receiver. A message of more than 1 MiB is
     * logged and not sent.
     */
    public void send(InstanceMessage message, InetSocketAddress receiver) {
        List<byte[]> datagrams = mFragments.split(message);
        if (datagrams.isEmpty()) {
            GatewayEvent.PEER_MESSAGE_TOO_LONG.log(
                    message.getContentCase(), message.getSerializedSize());
            return;
        }
        for (byte[] datagram : datagrams) {
            mChannel.writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(datagram), receiver),
                    mChannel.voidPromise());
        }
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
        private final FragmentAssembler mAssembler = new FragmentAssembler();

        Receiver(BiConsumer<InstanceMessage, InetSocketAddress> listener) {
            mListener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                byte[] bytes = ByteBufUtil.getBytes(packet.content());
                InstanceMessage message = InstanceMessage.parseFrom(bytes);
                Optional<InstanceMessage> whole =
                        message.hasFragment()
                                ? mAssembler.add(message.getInstance(), message.getFragment())
                                : Optional.of(message);
                whole.ifPresent(content -> mListener.accept(content, packet.sender()));
            } catch (InvalidProtocolBufferException e) {
                GatewayEvent.UNEXPECTED.log(
                        "peer message from " + packet.sender(),
                        packet.content().readableBytes() + " bytes: " + e.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A datagram to a closed port may be reported as an error of a later operation.
            GatewayEvent.UNEXPECTED.log("peer channel", cause);
        }
    }
}
