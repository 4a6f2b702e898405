package org.plantainferry.verification.standin;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against ports that an outgoing connection takes before a stand-in listens there. */
public final class FreePortsTest {
    private static final Path EPHEMERAL_PORT_RANGE =
            Path.of("/proc/sys/net/ipv4/ip_local_port_range");

    @Test
    public void returnsEachPortOnceAndUsable() throws IOException {
        Set<Integer> given = new HashSet<>();
        for (int index = 0; index < 200; index++) {
            int port = FreePorts.allocate("127.0.0.1");
            assertTrue(given.add(port), "given twice: " + port);
            new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
        }
    }

    @Test
    public void returnsPortsBelowEphemeralRange() throws IOException {
        if (!Files.exists(EPHEMERAL_PORT_RANGE)) {
            return;
        }
        int first =
                Integer.parseInt(Files.readAllLines(EPHEMERAL_PORT_RANGE).get(0).split("\\s+")[0]);
        for (int index = 0; index < 200; index++) {
            int port = FreePorts.allocate("127.0.0.1");
            assertTrue(port < first, port + " is not below " + first);
        }
    }
}
