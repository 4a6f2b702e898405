package org.plantainferry.verification.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds free ports; each is given out once in a run. */
final class FreePorts {
    private final Set<String> mGiven = new HashSet<>();

    /** Returns IP:PORT with a port that is free now. */
    synchronized String address(String ip) {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
                String address = ip + ":" + socket.getLocalPort();
                if (mGiven.add(address)) {
                    return address;
                }
            } catch (IOException e) {
                throw new UncheckedIOException("no free port at " + ip, e);
            }
        }
    }
}
