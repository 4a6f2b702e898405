package org.plantainferry.engine.replacement;

import org.plantainferry.api.session.LogPosition;

/**
 * Holds the answer of a server to a fence request.
 *
 * @since 0.1
 */
public sealed interface FenceAnswer {
    /**
     * Reports that the server follows no primary of an earlier term and grants the term to the
     * proposer.
     *
     * @param log the last term and position of its log
     * @since 0.1
     */
    record Granted(LogPosition log) implements FenceAnswer {}

    /**
     * Reports that the server is in a later term, or that another proposer holds its fence.
     *
     * @param term the term of the server
     * @since 0.1
     */
    record Refused(long term) implements FenceAnswer {}
}
