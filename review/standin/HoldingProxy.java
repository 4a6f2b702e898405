package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Forwards TCP connections, and cuts the link on demand as a partition does.
 *
 * <p>During a cut nothing is read, so bytes of open connections wait in the kernel. They are
 * delivered after the cut unless their sender has reset the connection. Connections that begin
 * during a cut deliver nothing: behind a real partition they would not be established.
 */
final class HoldingProxy {
    private static final long FIRST_RETRANSMISSION_MILLIS = 200;
    private static final int BUFFER_BYTES = 65_536;
    private static final int QUIET_MILLIS = 100;

    private final ServerSocket mListener;
    private final InetSocketAddress mTarget;
    private final Set<Socket> mBegunInCut = ConcurrentHashMap.newKeySet();
    private volatile boolean mCut;
    private volatile long mForwarded;

    HoldingProxy(String target) throws IOException {
        String[] parts = target.split(":");
        mTarget = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
        mListener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Returns the number of bytes that were forwarded to the target. */
    long forwarded() {
        return mForwarded;
    }

    void cut() {
        mCut = true;
    }

    void heal() throws IOException {
        for (Socket socket : mBegunInCut) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        mCut = false;
    }

    private void accept() {
        while (true) {
            try {
                Socket caller = mListener.accept();
                if (mCut) {
                    mBegunInCut.add(caller);
                    continue;
                }
                Socket target = new Socket();
                target.connect(mTarget);
                start(() -> forward(caller, target, true));
                start(() -> forward(target, caller, false));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void forward(Socket from, Socket to, boolean counts) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            while (true) {
                // Waiting for the first byte leaves the others in the kernel.
                int length = from.getInputStream().read(buffer, 0, 1);
                boolean wasHeld = awaitDelivery();
                boolean hasEnded = length < 0;
                if (!hasEnded && wasHeld) {
                    int more = readMore(from, buffer, length);
                    while (more > 0) {
                        length += more;
                        more = readMore(from, buffer, length);
                    }
                    hasEnded = more < 0;
                } else if (!hasEnded && from.getInputStream().available() > 0) {
                    length += from.getInputStream().read(buffer, 1, BUFFER_BYTES - 1);
                }
                if (length > 0) {
                    to.getOutputStream().write(buffer, 0, length);
                    mForwarded += counts ? length : 0;
                }
                if (hasEnded) {
                    to.shutdownOutput();
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // Bytes that were held are lost when their sender has reset the connection.
            closeBoth(from, to);
        }
    }

    /**
     * Reads what follows held bytes: the number of bytes, 0 if none come for now, -1 at the end.
     *
     * @throws IOException if the sender has reset the connection
     */
    private static int readMore(Socket from, byte[] buffer, int offset) throws IOException {
        from.setSoTimeout(QUIET_MILLIS);
        try {
            return from.getInputStream().read(buffer, offset, BUFFER_BYTES - offset);
        } catch (SocketTimeoutException e) {
            return 0;
        } finally {
            from.setSoTimeout(0);
        }
    }

    /**
     * Waits for the first retransmission of TCP that comes after the cut; returns whether there was
     * one.
     */
    private boolean awaitDelivery() throws InterruptedException {
        boolean wasCut = mCut;
        long startNanos = System.nanoTime();
        long delayMillis = FIRST_RETRANSMISSION_MILLIS;
        long dueMillis = delayMillis;
        while (mCut) {
            long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
            Thread.sleep(Math.max(1, dueMillis - elapsedMillis));
            delayMillis *= 2;
            dueMillis += delayMillis;
        }
        return wasCut;
    }

    private static void closeBoth(Socket from, Socket to) {
        try {
            from.close();
            to.close();
        } catch (IOException e) {
            // Both ends are gone.
            return;
        }
    }
}
