package org.plantainferry.gateway.traffic;

import java.util.function.Consumer;

/**
 * Asks other instances for a token when this one has none left.
 *
 * <p>The instance that lends takes the token out of its own share, so that lending never lets a
 * workspace exceed its limit.
 *
 * @since 0.2
 */
public interface TokenLender {
    /** Asks for a token; the callback runs once, on the traffic thread. */
    void borrow(String workspace, Consumer<Boolean> callback);
}
