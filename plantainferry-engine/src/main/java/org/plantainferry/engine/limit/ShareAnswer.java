package org.plantainferry.engine.limit;

import java.util.List;
import org.plantainferry.api.WorkspaceName;

/**
 * Contains the grants that answer one share request.
 *
 * @param configurationVersion the version in force at the allocator
 * @param sequence the sequence number of the request
 * @param nonce identifies this answer; the next request echoes it
 * @param depositedSlots the number of slots that the request deposited or renewed, over all
 *     workspaces; the sender lists all its deposits again if its own count differs
 * @param grants the grants for workspaces of the request; a workspace without an entry is granted
 *     nothing
 * @since 0.1
 */
public record ShareAnswer(
        long configurationVersion,
        long sequence,
        long nonce,
        int depositedSlots,
        List<Grant> grants) {
    /** Copies the list. */
    public ShareAnswer {
        grants = List.copyOf(grants);
    }

    /**
     * Replaces the borrower's earlier grant for a workspace.
     *
     * @param workspace the workspace
     * @param ratePerSecond the rate at which the borrower's bucket is refilled, in tokens per
     *     second
     * @param capacity the maximum number of tokens that the borrower may hold
     * @param tokens tokens added to those the borrower has
     * @param validNanos lifetime in nanoseconds, measured by the borrower from the time it sent its
     *     request
     * @param retryAfterNanos nanoseconds after which the borrower should ask again for waiting
     *     requests, because tokens were recalled from others or a token is due; 0 if no token is
     *     expected soon
     * @since 0.1
     */
    public record Grant(
            WorkspaceName workspace,
            double ratePerSecond,
            double capacity,
            double tokens,
            long validNanos,
            long retryAfterNanos) {
        static Grant none(WorkspaceName workspace) {
            return new Grant(workspace, 0, 0, 0, ShareTiming.GRANT_LIFETIME_NANOS, 0);
        }

        boolean isNone() {
            return ratePerSecond == 0 && capacity == 0 && tokens == 0 && retryAfterNanos == 0;
        }

        Grant withRetryAfter(long nanos) {
            return new Grant(workspace, ratePerSecond, capacity, tokens, validNanos, nanos);
        }
    }
}
