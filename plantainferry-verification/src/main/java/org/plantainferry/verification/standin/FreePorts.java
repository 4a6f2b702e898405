package org.plantainferry.verification.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Finds free ports; each is given out once in a process.
 *
 * <p>The ports lie below those that the system gives to outgoing connections, because one of these
 * could take a port between its search and its use.
 *
 * @since 0.3
 */
public final class FreePorts {
    private static final int FIRST_PORT = 15_000;
    private static final int PORT_COUNT = 17_000;
    private static final int MAX_ATTEMPTS = 2_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> ALLOCATED_PORTS = new HashSet<>();

    private FreePorts() {}

    /**
     * Returns IP:PORT with a port that is free now.
     *
     * @throws UncheckedIOException when there is none
     */
    public static String allocateAddress(String ip) {
        return ip + ":" + allocate(ip);
    }

    /**
     * Returns a port that is free at an address now.
     *
     * @throws UncheckedIOException when there is none
     */
    public static synchronized int allocate(String ip) {
        IOException last = new IOException("no port was tried");
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int port = FIRST_PORT + RANDOM.nextInt(PORT_COUNT);
            if (ALLOCATED_PORTS.contains(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                ALLOCATED_PORTS.add(socket.getLocalPort());
                return port;
            } catch (IOException e) {
                // Somebody uses this one; the next may be free.
                last = e;
            }
        }
        throw new UncheckedIOException("no free port at " + ip, last);
    }
}
