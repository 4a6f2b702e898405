package org.plantainferry.verification.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Allocates free ports; each port is returned only once per process.
 *
 * <p>The ports lie below the ephemeral port range, because an outgoing connection could otherwise
 * take a port between its allocation and its use.
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
     * Allocates a port that is currently free at an IP address and returns it as IP:PORT.
     *
     * @throws UncheckedIOException when no free port is found
     */
    public static String allocateAddress(String ip) {
        return ip + ":" + allocate(ip);
    }

    /**
     * Allocates a port that is currently free at an IP address.
     *
     * @throws UncheckedIOException when no free port is found
     */
    public static synchronized int allocate(String ip) {
        IOException lastFailure = new IOException("all candidate ports have been allocated");
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int port = FIRST_PORT + RANDOM.nextInt(PORT_COUNT);
            if (ALLOCATED_PORTS.contains(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                ALLOCATED_PORTS.add(socket.getLocalPort());
                return port;
            } catch (IOException e) {
                // The port is in use; another candidate may be free.
                lastFailure = e;
            }
        }
        throw new UncheckedIOException("no free port at " + ip, lastFailure);
    }
}
