package org.plantainferry.engine.drain;

import java.util.Optional;

/**
 * Describes what an instance accepts, as an immutable view for the traffic threads.
 *
 * @param phase the phase
 * @param cause why the instance drains; empty while it serves
 * @param ready whether the readiness endpoint reports ready
 * @param acceptsTransactions whether new transactions may begin
 * @param acceptsRequests whether new requests outside transactions are served
 * @param continuesTransactions whether statements of open transactions are served
 * @param remainingNanos nanoseconds until remaining work is aborted; {@code Long.MAX_VALUE} while
 *     serving
 * @since 0.1
 */
public record DrainView(
        DrainPhase phase,
        Optional<DrainCause> cause,
        boolean ready,
        boolean acceptsTransactions,
        boolean acceptsRequests,
        boolean continuesTransactions,
        long remainingNanos) {}
