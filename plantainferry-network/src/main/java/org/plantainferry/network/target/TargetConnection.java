package org.plantainferry.network.target;

import java.util.concurrent.CompletableFuture;

/**
 * Carries one request at a time to a target server.
 *
 * <p>A connection closes itself and carries no further request when a request times out, when a
 * response cannot be read, is too large, has another request number or arrives without a request,
 * and when the server announces that it will close the connection. Methods do not block and may be
 * called from any thread.
 *
 * @since 0.1
 */
public interface TargetConnection extends AutoCloseable {
    /**
     * Sends a request; returns a future of the response.
     *
     * <p>Completing or cancelling the future does not cancel the request; to abandon a request, the
     * caller must close the connection.
     *
     * @param timeoutMillis milliseconds to wait for the complete response, at least 1
     * @return a future that fails with a {@link org.plantainferry.api.PlantainferryException}: the
     *     code is {@code DEADLINE_EXCEEDED} after the timeout and {@code TARGET_UNAVAILABLE}
     *     otherwise; the verdict is {@code NOT_RUN} only when no byte was written, for example
     *     because another request is in progress, and {@code MAY_HAVE_RUN} otherwise
     */
    CompletableFuture<TargetResponse> send(TargetRequest request, long timeoutMillis);

    /** Returns whether the connection can carry a request, now or after the one in progress. */
    boolean isOpen();

    /** Returns a future that completes when either side has closed the connection. */
    CompletableFuture<Void> closeFuture();

    /** Closes the connection; a request in progress fails. */
    @Override
    void close();
}
