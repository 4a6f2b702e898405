package org.plantainferry.gateway.peer;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against messages that arrive while the instance is still being assembled. */
public final class PeerChannelTest {
    private static final String LOCAL = "127.0.0.1";

    private EventLoopGroup mGroup;

    @BeforeMethod
    public void startLoop() {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterMethod
    public void stopLoop() {
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static int freePort() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(LOCAL, 0))) {
            return socket.getLocalPort();
        }
    }

    @Test(timeOut = 20_000)
    public void deliversMessagesReceivedBeforeListening() throws Exception {
        int port = freePort();
        PeerChannel channel = new PeerChannel(mGroup.next(), LOCAL, port);
        byte[] message = InstanceMessage.newBuilder().setInstance("early").build().toByteArray();
        try (DatagramSocket sender = new DatagramSocket()) {
            sender.send(
                    new DatagramPacket(
                            message, message.length, new InetSocketAddress(LOCAL, port)));
        }
        BlockingQueue<String> received = new LinkedBlockingQueue<>();

        channel.listen((content, address) -> received.add(content.getInstance()));

        assertEquals(received.poll(10, TimeUnit.SECONDS), "early");
    }
}
