package org.plantainferry.daemon.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.GracefulShutdownHandler;
import java.util.Optional;
import java.util.function.LongSupplier;
import javax.net.ssl.SSLContext;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.daemon.settings.ListenAddress;
import org.plantainferry.daemon.traffic.CallerAuthority;
import org.plantainferry.daemon.traffic.RequestGateway;

/**
 * Listens for callers.
 *
 * @since 0.1
 */
public final class CallerServer implements AutoCloseable {
    private static final int HEADERS_MAX_BYTES = 16 * 1_024;
    private static final int HEADERS_MAX_COUNT = 64;
    private static final int IDLE_TIMEOUT_MILLIS = 600_000;
    // Bounds the time that a caller may take to send the rest of a request it began.
    private static final int REQUEST_PARSE_TIMEOUT_MILLIS = 30_000;
    private static final int BACKLOG = 4_096;

    private final Undertow mServer;
    private final GracefulShutdownHandler mShutdown;
    private volatile boolean mClosing;

    /**
     * Creates the listener; {@link #start} opens it.
     *
     * @param clock the monotonic time in nanoseconds
     */
    public CallerServer(
            ListenAddress address,
            Optional<SSLContext> tls,
            InstanceId instance,
            CallerAuthority authority,
            SessionTokenCodec tokens,
            long defaultDeadlineMillis,
            RequestGateway gateway,
            RequestTracker tracker,
            LongSupplier clock) {
        CallerRequestReader reader =
                new CallerRequestReader(authority, tokens, defaultDeadlineMillis);
        mShutdown =
                new GracefulShutdownHandler(
                        new CallerHttpHandler(reader, gateway, tracker, instance, clock));
        Undertow.Builder builder =
                Undertow.builder()
                        .setHandler(this::handle)
                        .setSocketOption(org.xnio.Options.BACKLOG, BACKLOG)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, HEADERS_MAX_BYTES)
                        .setServerOption(UndertowOptions.MAX_HEADERS, HEADERS_MAX_COUNT)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                REQUEST_PARSE_TIMEOUT_MILLIS);
        if (tls.isPresent()) {
            builder.addHttpsListener(address.port(), address.host(), tls.get());
        } else {
            builder.addHttpListener(address.port(), address.host());
        }
        mServer = builder.build();
    }

    /** Opens the listener. */
    public void start() {
        mServer.start();
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        if (mClosing) {
            CallerHttpHandler.refuse(
                    exchange, ErrorCode.DRAINING, "the instance shuts down; use another one");
            return;
        }
        mShutdown.handleRequest(exchange);
    }

    /**
     * Refuses new requests and waits until the answers of those in progress are written.
     *
     * @return whether all ended within the time
     */
    public boolean drain(long millis) throws InterruptedException {
        mClosing = true;
        mShutdown.shutdown();
        return mShutdown.awaitShutdown(millis);
    }

    @Override
    public void close() {
        mServer.stop();
    }
}
