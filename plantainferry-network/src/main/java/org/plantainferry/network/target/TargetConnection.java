package org.plantainferry.network.target;

import java.util.concurrent.CompletableFuture;

/**
 * Carries one request at a time to a target server.
 *
 * <p>A connection closes itself, and never carries another request, when a request passes its
 * timeout, when an answer cannot be read, is too large, has another request number or arrives
 * without a request, and when the server announces that it closes. Methods return at once and may
 * be called from any thread.
 *
 * @since 0.1
 */
public interface TargetConnection extends AutoCloseable {
    /**
     * Sends a request and waits for its answer.
     *
     * <p>Completing or cancelling the future does not withdraw the request; a caller that gives a
     * request up closes the connection.
     *
     * @param timeoutMillis milliseconds to wait for the whole answer, at least 1
     * @return a future that fails with a {@link org.plantainferry.api.PlantainferryException}: the
     *     code is {@code DEADLINE_EXCEEDED} when the timeout passed and {@code TARGET_UNAVAILABLE}
     *     otherwise; the verdict is {@code NOT_RUN} only when no byte was written, also when
     *     another request is in progress, and {@code MAY_HAVE_RUN} otherwise
     */
    CompletableFuture<TargetResponse> send(TargetRequest request, long timeoutMillis);

    /** Returns whether the connection can carry a request, now or after the one in progress. */
    boolean isOpen();

    /** Returns a future that completes when the connection is closed, by either side. */
    CompletableFuture<Void> closeFuture();

    /** Closes the connection; a request in progress fails. */
    @Override
    void close();
}
