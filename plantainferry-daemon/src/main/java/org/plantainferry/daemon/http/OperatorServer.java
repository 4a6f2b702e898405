package org.plantainferry.daemon.http;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.plantainferry.daemon.settings.ListenAddress;

/**
 * Serves health checks, metrics and status to operators on a port of its own.
 *
 * @since 0.1
 */
public final class OperatorServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int IO_THREADS = 1;
    private static final int WORKER_THREADS = 2;

    private final Undertow mServer;

    /**
     * Creates the listener; {@link #start} opens it.
     *
     * @param ready whether the instance takes new requests
     * @param metrics the text of all metrics in the Prometheus format
     * @param status the JSON text of the status
     */
    public OperatorServer(
            ListenAddress address,
            BooleanSupplier ready,
            Supplier<String> metrics,
            Supplier<String> status) {
        PathHandler paths =
                new PathHandler()
                        .addExactPath("/health/live", exchange -> answer(exchange, OK, "live\n"))
                        .addExactPath("/health/ready", readinessHandler(ready))
                        .addExactPath("/metrics", textHandler("text/plain; version=0.0.4", metrics))
                        .addExactPath("/operator/status", textHandler("application/json", status));
        mServer =
                Undertow.builder()
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(WORKER_THREADS)
                        .addHttpListener(address.port(), address.host())
                        .setHandler(paths)
                        .build();
    }

    /** Opens the listener. */
    public void start() {
        mServer.start();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    private static HttpHandler readinessHandler(BooleanSupplier ready) {
        return exchange -> {
            boolean isReady = ready.getAsBoolean();
            answer(exchange, isReady ? OK : UNAVAILABLE, isReady ? "ready\n" : "not ready\n");
        };
    }

    // Both suppliers may wait for the control thread, so they run on a worker thread.
    private static HttpHandler textHandler(String contentType, Supplier<String> content) {
        return new BlockingHandler(
                exchange -> {
                    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
                    exchange.getResponseSender().send(content.get());
                });
    }

    private static void answer(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text);
    }
}
