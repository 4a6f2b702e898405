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
 * Sends statements of the system itself to a server, on a connection of its own.
 *
 * @since 0.2
 */
public final class ServerProbe {
    /** The workspace that servers are told for connections of the system itself. */
    private static final String NO_WORKSPACE = "-";

    private static final int MAX_RETRIES = 4;
    private static final long RETRY_DELAY_MILLIS = 25;

    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final String mLocalAddress;

    /** Creates a probe whose connections run on a loop. */
    public ServerProbe(EventLoop loop, WireFormat format, String localAddress) {
        mLoop = loop;
        mFormat = format;
        mLocalAddress = localAddress;
    }

    /**
     * Sends a statement and closes the connection.
     *
     * @param timeoutMillis milliseconds for connection and answer together
     * @return what the server said, on the loop; never fails
     */
    public CompletableFuture<ProbeResult> send(
            CatalogServer server, Statement statement, long timeoutMillis) {
        CompletableFuture<ProbeResult> result = new CompletableFuture<>();
        ServerConnection link = new ServerConnection(mFormat, server, NO_WORKSPACE);
        mLoop.schedule(
                () -> {
                    result.complete(ProbeResult.UNREACHABLE);
                    link.close("the probe took too long");
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
        link.open(
                mLoop,
                mLocalAddress,
                Optional.empty(),
                reply -> onOpened(link, statement, reply, result));
        return result;
    }

    private void onOpened(
            ServerConnection link,
            Statement statement,
            ServerReply reply,
            CompletableFuture<ProbeResult> result) {
        if (reply.isDone()) {
            ask(link, statement, 0, result);
            return;
        }
        // A server without a free connection closes a new one at once, but it lives.
        boolean isAlive = !reply.isLost() || link.wasConnected();
        result.complete(isAlive ? ProbeResult.ALIVE_WITHOUT_STATUS : ProbeResult.UNREACHABLE);
    }

    private void ask(
            ServerConnection link,
            Statement statement,
            int repeats,
            CompletableFuture<ProbeResult> result) {
        link.send(
                Optional.empty(),
                Optional.empty(),
                statement,
                reply -> {
                    boolean isBusy = !reply.isLost() && reply.code() == FailureCode.BUSY;
                    if (isBusy && repeats < MAX_RETRIES && !result.isDone()) {
                        mLoop.schedule(
                                () -> ask(link, statement, repeats + 1, result),
                                RETRY_DELAY_MILLIS,
                                TimeUnit.MILLISECONDS);
                        return;
                    }
                    result.complete(answer(reply));
                    link.close("the probe has ended");
                });
    }

    private ProbeResult answer(ServerReply reply) {
        if (reply.isLost()) {
            return ProbeResult.UNREACHABLE;
        }
        return reply.isDone()
                ? new ProbeResult(true, mFormat.readStatus(reply.rows()))
                : ProbeResult.ALIVE_WITHOUT_STATUS;
    }
}
