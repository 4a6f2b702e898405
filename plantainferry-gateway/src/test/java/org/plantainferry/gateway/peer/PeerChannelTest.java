package org.plantainferry.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainferry.gateway.peer.generated.DemandReport;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.WorkspaceDemand;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against the loss of messages that arrive before the instance is fully assembled, and of
 * those that are longer than a datagram that every build reads.
 */
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
        PeerChannel channel = newChannel(port);
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

    /** Guards against limits that are given out several times, as after a demand report is cut. */
    @Test(timeOut = 20_000)
    public void readsALongMessageOfABuildThatSendsItInOneDatagram() throws Exception {
        int port = freePort();
        BlockingQueue<InstanceMessage> received = listen(port);
        InstanceMessage message = demandReport(200);
        byte[] bytes = message.toByteArray();
        assertTrue(bytes.length > 6_000, "bytes: " + bytes.length);
        try (DatagramSocket sender = new DatagramSocket()) {
            sender.send(
                    new DatagramPacket(bytes, bytes.length, new InetSocketAddress(LOCAL, port)));
        }
        assertEquals(received.poll(10, TimeUnit.SECONDS), message);
    }

    /** Guards against messages of large fleets that exceed the size of a datagram. */
    @Test(timeOut = 20_000)
    public void deliversAMessageThatIsLongerThanAnyDatagram() throws Exception {
        int port = freePort();
        BlockingQueue<InstanceMessage> received = listen(port);
        InstanceMessage message = demandReport(2_000);
        assertTrue(message.getSerializedSize() > 65_536, "bytes: " + message.getSerializedSize());
        PeerChannel sender = newChannel(freePort());
        mGroup.submit(() -> sender.send(message, new InetSocketAddress(LOCAL, port))).sync();
        assertEquals(received.poll(10, TimeUnit.SECONDS), message);
    }

    /** Guards against datagrams that builds without fragments read cut. */
    @Test(timeOut = 20_000)
    public void sendsNoDatagramThatABuildBeforeReadsCut() throws Exception {
        PeerChannel sender = newChannel(freePort());
        try (DatagramSocket receiver = new DatagramSocket(new InetSocketAddress(LOCAL, 0))) {
            receiver.setSoTimeout(10_000);
            InetSocketAddress address = new InetSocketAddress(LOCAL, receiver.getLocalPort());
            mGroup.submit(() -> sender.send(demandReport(200), address)).sync();
            int count = 1;
            for (int read = 0; read < count; read++) {
                DatagramPacket packet = new DatagramPacket(new byte[65_536], 65_536);
                receiver.receive(packet);
                assertTrue(packet.getLength() <= 2_048, "bytes: " + packet.getLength());
                count = parse(packet).getFragment().getCount();
            }
            assertTrue(count > 1, "fragments: " + count);
        }
    }

    private static InstanceMessage parse(DatagramPacket packet) throws Exception {
        return InstanceMessage.parseFrom(Arrays.copyOf(packet.getData(), packet.getLength()));
    }

    private PeerChannel newChannel(int port) {
        return new PeerChannel(mGroup.next(), LOCAL, port);
    }

    private BlockingQueue<InstanceMessage> listen(int port) {
        BlockingQueue<InstanceMessage> received = new LinkedBlockingQueue<>();
        newChannel(port).listen((content, address) -> received.add(content));
        return received;
    }

    private static InstanceMessage demandReport(int workspaces) {
        DemandReport.Builder report = DemandReport.newBuilder();
        for (int index = 0; index < workspaces; index++) {
            report.addWorkspaces(
                    WorkspaceDemand.newBuilder()
                            .setWorkspace("workspace-with-a-long-name-" + index)
                            .setOperationsPerSecond(index + 1));
        }
        return InstanceMessage.newBuilder().setInstance("i-1").setDemandReport(report).build();
    }
}
