package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Sends statements of the gateway itself to a server, each over a new connection.
 *
 * @since 0.2
 */
public final class ServerProbe {
    /** The workspace name that servers receive for connections of the gateway itself. */
    private static final String NO_WORKSPACE = "-";

    private static final int MAX_RETRIES = 4;
    // For answers that are far longer than those to a probe.
    private static final long MEMORY_BYTES = 4 * 1024 * 1024;
    private static final long RETRY_DELAY_MILLIS = 25;

    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final String mLocalAddress;
    private final TrafficMetrics mMetrics;
    private final ConnectionMemory mMemory;

    /** Creates a probe whose connections run on the given event loop. */
    public ServerProbe(
            EventLoop loop, WireFormat format, String localAddress, TrafficMetrics metrics) {
        mLoop = loop;
        mFormat = format;
        mLocalAddress = localAddress;
        mMetrics = metrics;
        mMemory = new ConnectionMemory(loop, MEMORY_BYTES, metrics);
    }

    /**
     * Opens a connection, sends a statement and closes the connection. Retries a few times while
     * the server is busy.
     *
     * @param timeoutMillis the timeout of connection and answer together, in milliseconds
     * @return the result, completed on the event loop; never completes exceptionally
     */
    public CompletableFuture<ProbeResult> send(
            CatalogServer server, Statement statement, long timeoutMillis) {
        CompletableFuture<ProbeResult> result = new CompletableFuture<>();
        ServerConnection connection =
                new ServerConnection(mFormat, server, NO_WORKSPACE, mMetrics, mMemory);
        mLoop.schedule(
                () -> {
                    result.complete(ProbeResult.UNREACHABLE);
                    connection.close("the probe took too long");
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
        connection.open(
                mLoop,
                mLocalAddress,
                Optional.empty(),
                reply -> onOpened(connection, statement, reply, result));
        return result;
    }

    private void onOpened(
            ServerConnection connection,
            Statement statement,
            ServerReply reply,
            CompletableFuture<ProbeResult> result) {
        if (reply.isDone()) {
            ask(connection, statement, 0, result);
            return;
        }
        // A server at its connection limit closes a new connection immediately, but it is alive.
        boolean isAlive = !reply.isLost() || connection.wasConnected();
        result.complete(isAlive ? ProbeResult.ALIVE_WITHOUT_STATUS : ProbeResult.UNREACHABLE);
    }

    private void ask(
            ServerConnection connection,
            Statement statement,
            int retries,
            CompletableFuture<ProbeResult> result) {
        connection.send(
                Optional.empty(),
                Optional.empty(),
                statement,
                reply -> {
                    boolean isBusy = reply.isFailed() && reply.code() == FailureCode.BUSY;
                    if (isBusy && retries < MAX_RETRIES && !result.isDone()) {
                        RefusalConfirmation.run(
                                connection,
                                confirmed -> {
                                    if (confirmed) {
                                        askLater(connection, statement, retries + 1, result);
                                    } else {
                                        result.complete(ProbeResult.ALIVE_WITHOUT_STATUS);
                                    }
                                });
                        return;
                    }
                    result.complete(answer(reply));
                    connection.close("the probe has ended");
                });
    }

    /** Asks again after a delay; on a connection that is closed by then, the probe fails. */
    private void askLater(
            ServerConnection connection,
            Statement statement,
            int retries,
            CompletableFuture<ProbeResult> result) {
        mLoop.schedule(
                () -> ask(connection, statement, retries, result),
                RETRY_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private ProbeResult answer(ServerReply reply) {
        if (reply.kind() == ServerReply.Kind.MISMATCHED) {
            return ProbeResult.ALIVE_WITHOUT_STATUS;
        }
        if (reply.isLost()) {
            return ProbeResult.UNREACHABLE;
        }
        return reply.isDone()
                ? new ProbeResult(true, mFormat.readStatus(reply.rows()))
                : ProbeResult.ALIVE_WITHOUT_STATUS;
    }
}
