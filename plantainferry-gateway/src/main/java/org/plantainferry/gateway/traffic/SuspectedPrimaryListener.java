package org.plantainferry.gateway.traffic;

/**
 * Receives reports that a primary does not answer. Called on the traffic thread.
 *
 * @since 0.2
 */
public interface SuspectedPrimaryListener {
    /**
     * Called when a server that should be the primary does not answer. May be called repeatedly for
     * the same server.
     */
    void onSuspected(String service, String server);
}
