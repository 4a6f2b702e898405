package org.plantainferry.verification.load;

import java.net.InetSocketAddress;
import org.plantainferry.api.Preconditions;
import org.plantainferry.network.http.SocketAddresses;

/** Refuses addresses of other machines, so that a mistyped address cannot load them. */
final class LoopbackAddresses {
    private LoopbackAddresses() {}

    static void requireLoopback(String address) {
        InetSocketAddress parsed = SocketAddresses.parse(address);
        Preconditions.condition(
                parsed.getAddress() != null && parsed.getAddress().isLoopbackAddress(),
                "address " + address + " is not a loopback address");
    }
}
