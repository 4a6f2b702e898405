package org.plantainferry.gateway.traffic;

import java.util.List;
import java.util.function.Consumer;

/**
 * Asks other instances for tokens when this one has none left.
 *
 * <p>The instance that lends takes the tokens out of its own share, so that lending never lets a
 * workspace exceed its limit.
 *
 * @since 0.2
 */
public interface TokenBorrower {
    /**
     * Asks for tokens; the callback runs once, on the traffic thread.
     *
     * @param lenders the instances to ask, in order, until one grants; when empty, any few
     * @param wanted how many tokens can be used soon, at least 1
     */
    void borrow(String workspace, List<String> lenders, int wanted, Consumer<TokenGrant> callback);
}
