package org.plantainferry.verification.standin.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Random;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks delay, cuts and order of the bytes that the relay passes. */
public final class TcpRelayTest {
    private static final String SOURCE_IP = "127.0.0.55";
    private static final int TIMEOUT_MILLIS = 300;
    private static final long DELAY_MILLIS = 40;

    private ServerSocket mEchoServer;
    private TcpRelay mRelay;
    private InetSocketAddress mRelayAddress;
    private String mDestination;

    @BeforeMethod
    public void startEchoServerAndRelay() throws IOException {
        mEchoServer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread accepting = new Thread(this::acceptAndEcho);
        accepting.setDaemon(true);
        accepting.start();
        mRelay = new TcpRelay();
        InetSocketAddress server = (InetSocketAddress) mEchoServer.getLocalSocketAddress();
        mDestination = "127.0.0.1:" + server.getPort();
        mRelayAddress = mRelay.addRoute(new InetSocketAddress("127.0.0.1", 0), server);
    }

    @AfterMethod
    public void stopEchoServerAndRelay() throws IOException {
        mRelay.close();
        mEchoServer.close();
    }

    /** Guards against a relay that hides callers' addresses or adds no delay. */
    @Test
    public void keepsSourceAddressAndAddsDelay() throws IOException {
        mRelay.setDelayMillis(mDestination, DELAY_MILLIS);
        try (Socket socket = connect()) {
            assertEquals(readSeenSourceAddress(socket), SOURCE_IP);
            long start = System.nanoTime();
            assertEquals(echo(socket, 7), 7);
            long millis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(millis >= 2 * DELAY_MILLIS && millis < 10 * DELAY_MILLIS, millis + " ms");
        }
    }

    /** Guards against bytes that pass during a cut, or are lost by it. */
    @Test
    public void holdsBytesDuringCutAndForwardsThemAfterHeal() throws IOException {
        try (Socket socket = connect()) {
            readSeenSourceAddress(socket);
            mRelay.cut(SOURCE_IP, mDestination, CutMode.HANG);
            assertThrows(SocketTimeoutException.class, () -> echo(socket, 7));
            try (Socket second = connect()) {
                assertThrows(SocketTimeoutException.class, () -> readSeenSourceAddress(second));
                mRelay.heal(SOURCE_IP, mDestination);
                assertEquals(readSeenSourceAddress(second), SOURCE_IP);
            }
            assertEquals(socket.getInputStream().read(), 7);
        }
    }

    /** Guards against new connections that hang although the cut is to refuse them. */
    @Test
    public void resetsNewConnectionsDuringCutInRefuseMode() throws IOException {
        mRelay.cut("*", mDestination, CutMode.REFUSE);
        assertThrows(
                IOException.class,
                () -> {
                    try (Socket socket = connect()) {
                        int first = socket.getInputStream().read();
                        throw first < 0
                                ? new IOException("closed")
                                : new AssertionError("a byte passed");
                    } catch (SocketTimeoutException e) {
                        throw new AssertionError("the connection hangs", e);
                    }
                });
        mRelay.heal("*", mDestination);
        try (Socket socket = connect()) {
            assertEquals(readSeenSourceAddress(socket), SOURCE_IP);
        }
    }

    /** Guards against lost, reordered or truncated bytes under backpressure. */
    @Test
    public void forwardsLargeTransferInOrder() throws Exception {
        byte[] sent = new byte[8 * 1024 * 1024];
        new Random(1).nextBytes(sent);
        mRelay.setDelayMillis("*", 5);
        try (Socket socket = connect()) {
            socket.setSoTimeout(10_000);
            readSeenSourceAddress(socket);
            Thread writer =
                    new Thread(
                            () -> {
                                try {
                                    socket.getOutputStream().write(sent);
                                } catch (IOException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            writer.start();
            byte[] received = socket.getInputStream().readNBytes(sent.length);
            writer.join();
            assertTrue(Arrays.equals(received, sent));
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(SOURCE_IP, 0));
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.connect(mRelayAddress);
        return socket;
    }

    /** Reads the address that the server saw. */
    private static String readSeenSourceAddress(Socket socket) throws IOException {
        byte[] address = socket.getInputStream().readNBytes(4);
        return InetAddress.getByAddress(address).getHostAddress();
    }

    private static int echo(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }

    private void acceptAndEcho() {
        while (!mEchoServer.isClosed()) {
            try {
                Socket socket = mEchoServer.accept();
                Thread echo = new Thread(() -> sendSourceAddressAndEcho(socket));
                echo.setDaemon(true);
                echo.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void sendSourceAddressAndEcho(Socket socket) {
        try (socket) {
            socket.getOutputStream().write(socket.getInetAddress().getAddress());
            socket.getInputStream().transferTo(socket.getOutputStream());
        } catch (IOException e) {
            // The caller went away, as these tests let it.
            return;
        }
    }
}
