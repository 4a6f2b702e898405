package org.plantainferry.gateway;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.server.handlers.PathHandler;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.plantainferry.network.http.SocketAddresses;
import org.xnio.Options;

/**
 * Serves health checks to the load balancer and metrics to operators.
 *
 * @since 0.2
 */
final class OperatorEndpoint {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    // Requests to operators have short headers and no bodies.
    private static final int MAX_REQUEST_BYTES = 16 * 1024;
    private static final int REQUEST_TIMEOUT_MILLIS = 2_000;
    private static final int IDLE_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_CONNECTIONS = 256;

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
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_REQUEST_BYTES)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_REQUEST_BYTES)
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                        .setSocketOption(Options.CONNECTION_LOW_WATER, MAX_CONNECTIONS)
                        .setSocketOption(Options.CONNECTION_HIGH_WATER, MAX_CONNECTIONS)
                        .addHttpListener(listener.getPort(), listener.getHostString())
                        .setHandler(paths)
                        .build();
    }

    void start() {
        mServer.start();
    }

    private static void respond(HttpServerExchange exchange, boolean isHealthy) {
        exchange.setStatusCode(isHealthy ? OK : UNAVAILABLE);
        exchange.getResponseSender().send(isHealthy ? "ready\n" : "not ready\n");
    }
}
