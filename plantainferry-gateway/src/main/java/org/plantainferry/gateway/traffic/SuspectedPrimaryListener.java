package org.plantainferry.gateway.traffic;

/**
 * Receives the suspicion of traffic that a primary does not answer; on the traffic thread.
 *
 * @since 0.2
 */
public interface SuspectedPrimaryListener {
    /** Receives a suspicion; the same one may come often. */
    void onSuspected(String service, String server);
}
