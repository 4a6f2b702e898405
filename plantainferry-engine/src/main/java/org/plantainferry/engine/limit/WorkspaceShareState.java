package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.WorkspaceName;

/** Keeps one workspace's deposits, allocator and bucket on one instance. */
final class WorkspaceShareState {
    // An allocator that is replaced while it still answers serves until its deposits run out.
    private static final long ALLOCATOR_HANDOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    // The permanent part lapses after a pause of the control thread of this length.
    private static final long MAXIMUM_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Requests out of turn for one workspace, so that none takes the turns of the others. */
    private static final double EARLY_REQUESTS_PER_SECOND = 25;

    private static final double EARLY_REQUEST_BURST = 25;

    private final WorkspaceName mName;
    private final WorkspaceTokenBucket mBucket;
    private final List<Long> mDepositExpiries = new ArrayList<>();
    private InstanceId mAllocator;
    private boolean mChangingAllocator;
    private long mChangeStartedNanos;
    private double mTokensToReturn;
    private boolean mTokenRequestSent;
    private double mEarlyRequestTokens = EARLY_REQUEST_BURST;
    private long mEarlyRequestsUpdatedNanos;
    private boolean mAcknowledgementDue;

    WorkspaceShareState(long nowNanos, WorkspaceName name) {
        mName = name;
        mBucket = new WorkspaceTokenBucket(nowNanos);
        mEarlyRequestsUpdatedNanos = nowNanos;
    }

    WorkspaceName name() {
        return mName;
    }

    /** Takes one request out of turn, or returns false when this workspace has had its part. */
    boolean tryTakeEarlyRequest(long nowNanos) {
        double seconds = (nowNanos - mEarlyRequestsUpdatedNanos) / ShareTiming.NANOS_PER_SECOND;
        mEarlyRequestsUpdatedNanos = nowNanos;
        mEarlyRequestTokens =
                Math.min(
                        EARLY_REQUEST_BURST,
                        mEarlyRequestTokens + seconds * EARLY_REQUESTS_PER_SECOND);
        if (mEarlyRequestTokens < 1) {
            return false;
        }
        mEarlyRequestTokens--;
        return true;
    }

    WorkspaceTokenBucket bucket() {
        return mBucket;
    }

    InstanceId allocator() {
        return mAllocator;
    }

    /** Moves towards the preferred allocator; the deposits at the present one run out first. */
    void chooseAllocator(long nowNanos, InstanceId preferred, boolean presentAnswers) {
        if (mAllocator == null) {
            mAllocator = preferred;
        }
        if (mAllocator.equals(preferred)) {
            mChangingAllocator = false;
            return;
        }
        if (!mChangingAllocator) {
            mChangingAllocator = true;
            mChangeStartedNanos = nowNanos;
        }
        boolean handedOver =
                !presentAnswers || nowNanos - mChangeStartedNanos >= ALLOCATOR_HANDOVER_NANOS;
        if (handedOver && runningDeposits(nowNanos) == 0) {
            mAllocator = preferred;
            mChangingAllocator = false;
            mTokensToReturn = 0;
        }
    }

    /** Returns whether slots may be deposited with the present allocator. */
    boolean mayDeposit() {
        return !mChangingAllocator;
    }

    int runningDeposits(long nowNanos) {
        mDepositExpiries.removeIf(expiry -> nowNanos - expiry >= 0);
        return mDepositExpiries.size();
    }

    /** Sets the permanent part to the slots that are not deposited. */
    double refreshOwnLimit(long nowNanos, int usableSlots, SlotLimit terms) {
        int own = Math.max(0, usableSlots - runningDeposits(nowNanos));
        return mBucket.setOwnLimit(
                nowNanos,
                own * terms.ratePerSecond(),
                own * terms.capacity(),
                nowNanos + MAXIMUM_PAUSE_NANOS);
    }

    /** Builds the entry of a request and moves the deposited tokens into it. */
    ShareRequest.Share deposit(
            long nowNanos, int depositedSlots, int usableSlots, SlotLimit terms) {
        int running = runningDeposits(nowNanos);
        long expiry = nowNanos + ShareTiming.HOLDER_DEPOSIT_LIFETIME_NANOS;
        mDepositExpiries.sort(Collections.reverseOrder());
        for (int i = 0; i < depositedSlots; i++) {
            if (i < running) {
                mDepositExpiries.set(i, expiry);
            } else {
                mDepositExpiries.add(expiry);
            }
        }
        double tokens = mTokensToReturn + refreshOwnLimit(nowNanos, usableSlots, terms);
        mTokensToReturn = 0;
        mAcknowledgementDue = false;
        int waiting = mBucket.waitingRequests();
        mTokenRequestSent = waiting > 0;
        return new ShareRequest.Share(
                mName,
                depositedSlots,
                depositedSlots > 0 || tokens > 0 ? tokens : 0,
                mBucket.demandPerSecond(nowNanos),
                mBucket.grantTokens(nowNanos),
                waiting);
    }

    /**
     * Returns whether a request needs an entry for the workspace.
     *
     * @param deposits whether the request deposits slots; deposits without an entry are prolonged
     */
    boolean needsEntry(long nowNanos, int usableSlots, boolean deposits) {
        int running = runningDeposits(nowNanos);
        boolean changed = mayDeposit() ? running != usableSlots : running > 0;
        return (deposits && changed)
                || mAcknowledgementDue
                || mTokensToReturn > 0
                || mBucket.waitingRequests() > 0
                || mBucket.hasGrant(nowNanos)
                || mBucket.demandPerSecond(nowNanos) > 0;
    }

    /** Prolongs all running deposits without an entry and returns their number. */
    int renewDeposits(long nowNanos) {
        int running = runningDeposits(nowNanos);
        mDepositExpiries.replaceAll(expiry -> nowNanos + ShareTiming.HOLDER_DEPOSIT_LIFETIME_NANOS);
        return running;
    }

    /** Returns whether this instance needs the allocator for the workspace. */
    boolean needsAllocator(long nowNanos, int usableSlots) {
        // A running deposit needs an entry, or the allocator would prolong it.
        return usableSlots > 0
                || runningDeposits(nowNanos) > 0
                || mTokensToReturn > 0
                || mBucket.waitingRequests() > 0
                || mBucket.hasGrant(nowNanos)
                || mBucket.demandPerSecond(nowNanos) > 0;
    }

    /** Returns whether the traffic has ended while a grant still holds capacity for it. */
    boolean isGrantUnused(long nowNanos) {
        return mBucket.hasGrant(nowNanos)
                && mBucket.waitingRequests() == 0
                && mBucket.demandPerSecond(nowNanos) == 0;
    }

    /** Installs a grant and returns whether many tokens have to go back. */
    boolean install(long nowNanos, ShareAnswer.Grant grant, long sentAt) {
        mAcknowledgementDue = mBucket.hasGrant(nowNanos) || grant.capacity() > 0;
        mTokensToReturn +=
                mBucket.installGrant(
                        nowNanos,
                        grant.ratePerSecond(),
                        grant.capacity(),
                        grant.tokens(),
                        sentAt + grant.validNanos());
        boolean fruitful = mBucket.tokens(nowNanos) >= 1;
        // A caller that began to wait after the request left has not been asked for yet.
        boolean more =
                grant.retryAfterNanos() > 0
                        && mBucket.isWaitingUntil(nowNanos + grant.retryAfterNanos());
        if (mTokenRequestSent && (fruitful || !more)) {
            mTokenRequestSent = false;
            mBucket.endTokenRequest(nowNanos, fruitful);
        }
        return mTokensToReturn >= 1;
    }
}
