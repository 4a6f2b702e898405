package org.plantainferry.network.target;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.network.http.HttpConnector;

/**
 * Opens target connections over Netty's HTTP codec.
 *
 * @since 0.1
 */
public final class NettyTargetConnector implements TargetConnector {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private final HttpConnector mConnector;
    // All connections share one sequence with a random start, so that a response to a request on
    // another connection, or from another instance, does not carry the expected number.
    private final AtomicLong mRequestNumbers = new AtomicLong(new SecureRandom().nextLong() >>> 2);

    /**
     * Creates a connector.
     *
     * @param group the event loops, which the caller owns
     * @param localAddress the address that connections are bound to; empty for any
     */
    public NettyTargetConnector(EventLoopGroup group, Optional<InetAddress> localAddress) {
        mConnector =
                new HttpConnector(
                        group,
                        localAddress,
                        CONNECT_TIMEOUT_MILLIS,
                        MAX_BODY_BYTES,
                        ErrorCode.TARGET_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<TargetConnection> connect(String address) {
        CompletableFuture<TargetConnection> result = new CompletableFuture<>();
        mConnector
                .connect(address)
                .whenComplete(
                        (http, error) -> {
                            if (error != null) {
                                result.completeExceptionally(error);
                            } else if (!result.complete(
                                    new HttpTargetConnection(http, mRequestNumbers))) {
                                // The caller completed or cancelled the future while the connection
                                // was being opened.
                                http.close();
                            }
                        });
        return result;
    }
}
