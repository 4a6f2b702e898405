package org.plantainferry.engine.replacement;

import org.plantainferry.api.InstanceId;
import org.plantainferry.api.ServerId;

/**
 * Orders the shell to do something for a group.
 *
 * @since 0.1
 */
public sealed interface GroupMonitorAction {
    /**
     * Asks a server for its state. The answer is of use for up to 2 s, even when later probes of
     * the same server have been sent; a slow server is told from a dead one by late answers.
     *
     * @param server the server
     * @since 0.1
     */
    record Probe(ServerId server) implements GroupMonitorAction {}

    /**
     * Asks another guardian for its opinion of a server.
     *
     * @param instance the other guardian
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
     * Tells traffic, peers and the store's record of the primary of a term.
     *
     * @param term the term
     * @param primary its primary
     * @param elected whether this guardian promoted it; the shell then writes the store's record
     * @since 0.1
     */
    record Announce(long term, ServerId primary, boolean elected) implements GroupMonitorAction {}
}
