package org.plantainferry.verification.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;
import org.plantainferry.api.json.Json;
import org.xnio.IoUtils;

/**
 * Reads requests and writes answers of stand-ins.
 *
 * @since 0.1
 */
public final class HttpExchanges {
    private static final long MAX_SKIPPED_BYTES = 2 * 1024 * 1024;

    private HttpExchanges() {}

    /**
     * Reads the body as text; empty when it is longer than the limit.
     *
     * <p>Blocks, and so must run on a task thread. What is above the limit is read as well, because
     * a client that is still sending when the connection ends never sees the answer. Undertow
     * itself ends connections whose body is over 2 MB.
     */
    public static Optional<String> readBody(HttpServerExchange exchange, int maxBytes)
            throws IOException {
        if (!exchange.isBlocking()) {
            exchange.startBlocking();
        }
        byte[] bytes = exchange.getInputStream().readNBytes(maxBytes + 1);
        if (bytes.length <= maxBytes) {
            return Optional.of(new String(bytes, StandardCharsets.UTF_8));
        }
        exchange.getInputStream().skip(MAX_SKIPPED_BYTES);
        return Optional.empty();
    }

    /** Answers with a status and a JSON body. */
    public static void sendJson(HttpServerExchange exchange, int status, Object json) {
        sendJsonText(exchange, status, Json.write(json));
    }

    /** Answers with a status and a body that is JSON text already. */
    public static void sendJsonText(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(text, StandardCharsets.UTF_8);
    }

    /** Closes the connection of a request without an answer. */
    public static void closeConnection(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Returns the source IP address of a request. */
    public static InetAddress sourceAddress(HttpServerExchange exchange) {
        return exchange.getSourceAddress().getAddress();
    }

    /** Returns a query parameter. */
    public static Optional<String> queryParameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
    }

    /**
     * Returns a query parameter that must be present.
     *
     * @throws IllegalArgumentException when it is absent
     */
    public static String requiredQueryParameter(HttpServerExchange exchange, String name) {
        return queryParameter(exchange, name)
                .orElseThrow(
                        () -> new IllegalArgumentException("no query parameter \"" + name + "\""));
    }
}
