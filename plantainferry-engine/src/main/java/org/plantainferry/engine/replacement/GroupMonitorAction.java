package org.plantainferry.engine.replacement;

import org.plantainferry.api.InstanceId;
import org.plantainferry.api.ServerId;

/**
 * Describes an action that the caller of a {@link GroupMonitor} carries out.
 *
 * @since 0.1
 */
public sealed interface GroupMonitorAction {
    /**
     * Asks a server for its state.
     *
     * <p>Its answer remains useful for up to 2 s, even after later probes of the same server were
     * sent, because late answers distinguish a slow server from a dead one.
     *
     * @param server the server
     * @since 0.1
     */
    record Probe(ServerId server) implements GroupMonitorAction {}

    /**
     * Asks another monitor for its opinion of a server.
     *
     * @param instance the other monitor
     * @param server the server
     * @since 0.1
     */
    record RequestOpinion(InstanceId instance, ServerId server) implements GroupMonitorAction {}

    /**
     * Fences a server; repeating it with the same proposer is safe.
     *
     * @param server the server
     * @param term the new term
     * @param proposer the proposer
     * @since 0.1
     */
    record Fence(ServerId server, long term, String proposer) implements GroupMonitorAction {}

    /**
     * Promotes a server; repeating it with the same proposer is safe.
     *
     * @param server the server, always the same one in a term
     * @param term the new term
     * @param proposer the proposer
     * @since 0.1
     */
    record Promote(ServerId server, long term, String proposer) implements GroupMonitorAction {}

    /**
     * Announces the primary of a term to traffic, peers and the store.
     *
     * @param term the term
     * @param primary its primary
     * @param elected whether this monitor promoted it; the caller then writes the record in the
     *     store
     * @since 0.1
     */
    record Announce(long term, ServerId primary, boolean elected) implements GroupMonitorAction {}
}
