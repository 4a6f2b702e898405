package org.plantainferry.engine.limit;

import java.util.List;
import org.plantainferry.api.WorkspaceName;

/**
 * Carries the grants that answer one share request.
 *
 * @param configurationVersion the version in force at the allocator
 * @param sequence the sequence number of the request
 * @param nonce identifies this answer; the next request repeats it
 * @param depositedSlots the slots that the request deposited or prolonged, over all workspaces; the
 *     sender lists all its deposits again when it counts otherwise
 * @param grants the grants for workspaces of the request; one without an entry has nothing granted
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
     * @param ratePerSecond the rate at which the borrower's tokens grow
     * @param capacity the most tokens that the borrower may hold
     * @param tokens tokens added to those the borrower has
     * @param validNanos lifetime, which the borrower counts from the sending of its request
     * @param moreAfterNanos the time after which waiting requests should be asked for again,
     *     because others were asked to return tokens or a token is due; 0 when nothing is expected
     *     soon
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
