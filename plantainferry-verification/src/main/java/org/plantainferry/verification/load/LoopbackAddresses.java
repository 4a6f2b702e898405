package org.plantainferry.verification.load;

import java.net.InetSocketAddress;
import org.plantainferry.api.Preconditions;
import org.plantainferry.network.http.SocketAddresses;

/** Rejects addresses of other machines, so that a mistyped address puts no load on them. */
final class LoopbackAddresses {
    private LoopbackAddresses() {}

    static void requireLoopback(String address) {
        InetSocketAddress socketAddress = SocketAddresses.parse(address);
        Preconditions.condition(
                socketAddress.getAddress() != null
                        && socketAddress.getAddress().isLoopbackAddress(),
                "address " + address + " is not a loopback address");
    }
}
