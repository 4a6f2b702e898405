package org.plantainferry.gateway;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.server.handlers.PathHandler;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.plantainferry.network.http.SocketAddresses;

/**
 * Serves health and metrics to the balancer and to operators.
 *
 * @since 0.2
 */
final class OperatorEndpoint {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Undertow mServer;

    OperatorEndpoint(String address, BooleanSupplier ready, Supplier<String> metrics) {
        InetSocketAddress listener = SocketAddresses.parse(address);
        PathHandler paths =
                new PathHandler()
                        .addExactPath("/health/live", exchange -> respond(exchange, true))
                        .addExactPath(
                                "/health/ready",
                                exchange -> respond(exchange, ready.getAsBoolean()))
                        .addExactPath(
                                "/metrics",
                                new BlockingHandler(
                                        exchange ->
                                                exchange.getResponseSender().send(metrics.get())));
        mServer =
                Undertow.builder()
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .addHttpListener(listener.getPort(), listener.getHostString())
                        .setHandler(paths)
                        .build();
    }

    void start() {
        mServer.start();
    }

    private static void respond(HttpServerExchange exchange, boolean good) {
        exchange.setStatusCode(good ? OK : UNAVAILABLE);
        exchange.getResponseSender().send(good ? "ready\n" : "not ready\n");
    }
}
