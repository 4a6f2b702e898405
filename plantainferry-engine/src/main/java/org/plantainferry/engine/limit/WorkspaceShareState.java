package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.WorkspaceName;

/** Tracks the deposits, allocator and token bucket of one workspace on one instance. */
final class WorkspaceShareState {
    // An allocator that still answers is replaced after this time and once its deposits expire.
    private static final long ALLOCATOR_HANDOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    // The own limit expires if the control thread pauses for this long.
    private static final long MAXIMUM_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Limits the early requests per workspace, so that one cannot use up those of the others. */
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

    /** Takes an early request from the rate limit, or returns false if the limit is used up. */
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

    /** Changes to the preferred allocator once the deposits with the current one have expired. */
    void chooseAllocator(long nowNanos, InstanceId preferred, boolean currentAnswers) {
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
        boolean handoverDone =
                !currentAnswers || nowNanos - mChangeStartedNanos >= ALLOCATOR_HANDOVER_NANOS;
        if (handoverDone && runningDeposits(nowNanos) == 0) {
            mAllocator = preferred;
            mChangingAllocator = false;
            mTokensToReturn = 0;
        }
    }

    /** Returns whether slots may be deposited with the current allocator. */
    boolean mayDeposit() {
        return !mChangingAllocator;
    }

    int runningDeposits(long nowNanos) {
        mDepositExpiries.removeIf(expiry -> nowNanos - expiry >= 0);
        return mDepositExpiries.size();
    }

    /** Sets the own limit to the slots that are not deposited; returns the tokens above it. */
    double refreshOwnLimit(long nowNanos, int usableSlots, SlotLimit slotLimit) {
        int ownSlots = Math.max(0, usableSlots - runningDeposits(nowNanos));
        return mBucket.setOwnLimit(
                nowNanos,
                ownSlots * slotLimit.ratePerSecond(),
                ownSlots * slotLimit.capacity(),
                nowNanos + MAXIMUM_PAUSE_NANOS);
    }

    /** Creates the entry of a request and moves the tokens to return into it. */
    ShareRequest.Share deposit(
            long nowNanos, int depositedSlots, int usableSlots, SlotLimit slotLimit) {
        int runningSlots = runningDeposits(nowNanos);
        long expiry = nowNanos + ShareTiming.HOLDER_DEPOSIT_LIFETIME_NANOS;
        mDepositExpiries.sort(Collections.reverseOrder());
        for (int i = 0; i < depositedSlots; i++) {
            if (i < runningSlots) {
                mDepositExpiries.set(i, expiry);
            } else {
                mDepositExpiries.add(expiry);
            }
        }
        double tokens = mTokensToReturn + refreshOwnLimit(nowNanos, usableSlots, slotLimit);
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
     * @param deposits whether the request deposits slots; deposits without an entry are renewed
     */
    boolean needsEntry(long nowNanos, int usableSlots, boolean deposits) {
        int runningSlots = runningDeposits(nowNanos);
        boolean depositsChanged = mayDeposit() ? runningSlots != usableSlots : runningSlots > 0;
        return (deposits && depositsChanged)
                || mAcknowledgementDue
                || mTokensToReturn > 0
                || mBucket.waitingRequests() > 0
                || mBucket.hasGrant(nowNanos)
                || mBucket.demandPerSecond(nowNanos) > 0;
    }

    /** Renews all running deposits for a request without an entry; returns their number. */
    int renewDeposits(long nowNanos) {
        int runningSlots = runningDeposits(nowNanos);
        mDepositExpiries.replaceAll(expiry -> nowNanos + ShareTiming.HOLDER_DEPOSIT_LIFETIME_NANOS);
        return runningSlots;
    }

    /** Returns whether this instance needs the allocator for the workspace. */
    boolean needsAllocator(long nowNanos, int usableSlots) {
        // A running deposit needs an entry, because the allocator would renew it otherwise.
        return usableSlots > 0
                || runningDeposits(nowNanos) > 0
                || mTokensToReturn > 0
                || mBucket.waitingRequests() > 0
                || mBucket.hasGrant(nowNanos)
                || mBucket.demandPerSecond(nowNanos) > 0;
    }

    /** Returns whether a grant still holds capacity although the traffic has ended. */
    boolean isGrantUnused(long nowNanos) {
        return mBucket.hasGrant(nowNanos)
                && mBucket.waitingRequests() == 0
                && mBucket.demandPerSecond(nowNanos) == 0;
    }

    /** Installs a grant and returns whether at least one whole token must be returned. */
    boolean install(long nowNanos, ShareAnswer.Grant grant, long sentAt) {
        mAcknowledgementDue = mBucket.hasGrant(nowNanos) || grant.capacity() > 0;
        mTokensToReturn +=
                mBucket.installGrant(
                        nowNanos,
                        grant.ratePerSecond(),
                        grant.capacity(),
                        grant.tokens(),
                        sentAt + grant.validNanos());
        boolean tokensReceived = mBucket.tokens(nowNanos) >= 1;
        // The request did not cover callers that began to wait after it was sent.
        boolean moreExpected =
                grant.retryAfterNanos() > 0
                        && mBucket.isWaitingUntil(nowNanos + grant.retryAfterNanos());
        if (mTokenRequestSent && (tokensReceived || !moreExpected)) {
            mTokenRequestSent = false;
            mBucket.endTokenRequest(nowNanos, tokensReceived);
        }
        return mTokensToReturn >= 1;
    }
}
