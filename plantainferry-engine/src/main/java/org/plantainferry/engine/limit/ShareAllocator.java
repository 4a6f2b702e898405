package org.plantainferry.engine.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;

/**
 * Grants deposited shares to borrowers by demand.
 *
 * <p>Each instance has one allocator, which serves the workspaces for which it receives requests.
 * Used by the control thread only.
 *
 * @since 0.1
 */
public final class ShareAllocator {
    // Longer than the lifetime of any deposit, so that a nonce never outlives the sequence number
    // that protects against a duplicate request.
    private static final long BORROWER_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int RETAINED_NONCES = 8;

    private record Nonce(long value, long issuedNanos) {}

    private static final class RequestHistory {
        private final Deque<Nonce> mNonces = new ArrayDeque<>();
        private long mLastSequence;
        private long mLastRequestNanos;
    }

    private final SlotConfiguration mSlotConfiguration;
    private final Map<InstanceId, RequestHistory> mRequestHistories = new HashMap<>();
    private final Map<WorkspaceName, WorkspaceAllocation> mAllocations = new HashMap<>();
    private long mNextNonce;
    private long mLastCleanupNanos;

    /**
     * Creates an allocator without deposits.
     *
     * @param nonceSeed a random number, so that nonces differ from those of earlier processes
     */
    public ShareAllocator(long nowNanos, SlotConfiguration slotConfiguration, long nonceSeed) {
        mSlotConfiguration = Preconditions.notNull(slotConfiguration, "slotConfiguration");
        mNextNonce = nonceSeed;
        mLastCleanupNanos = nowNanos;
    }

    /** Records deposits and answers with grants; ignores a request that is late or a duplicate. */
    public AllocatorReply handleRequest(long nowNanos, ShareRequest request) {
        removeUnused(nowNanos);
        RequestHistory history =
                mRequestHistories.computeIfAbsent(request.instance(), key -> new RequestHistory());
        if (request.sequence() <= history.mLastSequence) {
            return new AllocatorReply(Optional.empty(), List.of());
        }
        history.mLastSequence = request.sequence();
        history.mLastRequestNanos = nowNanos;
        Optional<Nonce> echoed =
                history.mNonces.stream()
                        .filter(n -> n.value == request.nonce())
                        .filter(n -> nowNanos - n.issuedNanos < ShareTiming.DEPOSIT_LIFETIME_NANOS)
                        .findFirst();
        long nonce = issueNonce(nowNanos, history);
        List<ShareAnswer.Grant> grants = new ArrayList<>();
        Set<InstanceId> recalled = new LinkedHashSet<>();
        int deposited = 0;
        for (ShareRequest.Share share : request.shares()) {
            WorkspaceAllocation allocation =
                    mAllocations.computeIfAbsent(
                            share.workspace(), key -> new WorkspaceAllocation(nowNanos));
            allocation.advance(nowNanos, mSlotConfiguration.slotLimit(nowNanos, share.workspace()));
            if (echoed.isPresent()) {
                long expiry = echoed.get().issuedNanos + ShareTiming.DEPOSIT_LIFETIME_NANOS;
                allocation.recordDeposit(request.instance(), share, echoed.get().value, expiry);
                deposited += share.depositedSlots();
            }
            WorkspaceAllocation.Allocation result =
                    allocation.allocate(request.instance(), share, nonce);
            if (!result.grant().isNone()) {
                grants.add(result.grant());
            }
            recalled.addAll(result.recalled());
        }
        if (request.renewsUnlisted() && echoed.isPresent()) {
            long expiry = echoed.get().issuedNanos + ShareTiming.DEPOSIT_LIFETIME_NANOS;
            deposited += renewUnlistedDeposits(nowNanos, request, expiry);
        }
        ShareAnswer answer =
                new ShareAnswer(
                        mSlotConfiguration.configuration().version(),
                        request.sequence(),
                        nonce,
                        deposited,
                        grants);
        return new AllocatorReply(Optional.of(answer), List.copyOf(recalled));
    }

    /** Renews only unexpired deposits; the slots of an expired one may be in use elsewhere. */
    private int renewUnlistedDeposits(long nowNanos, ShareRequest request, long expiry) {
        Set<WorkspaceName> listed = new HashSet<>();
        request.shares().forEach(share -> listed.add(share.workspace()));
        int renewed = 0;
        for (Map.Entry<WorkspaceName, WorkspaceAllocation> entry : mAllocations.entrySet()) {
            if (!listed.contains(entry.getKey())) {
                WorkspaceAllocation allocation = entry.getValue();
                allocation.advance(
                        nowNanos, mSlotConfiguration.slotLimit(nowNanos, entry.getKey()));
                renewed += allocation.renewDeposits(request.instance(), expiry);
            }
        }
        return renewed;
    }

    private long issueNonce(long nowNanos, RequestHistory history) {
        mNextNonce++;
        if (mNextNonce == 0) {
            mNextNonce++;
        }
        history.mNonces.addLast(new Nonce(mNextNonce, nowNanos));
        if (history.mNonces.size() > RETAINED_NONCES) {
            history.mNonces.removeFirst();
        }
        return mNextNonce;
    }

    private void removeUnused(long nowNanos) {
        if (nowNanos - mLastCleanupNanos < BORROWER_RETENTION_NANOS) {
            return;
        }
        mLastCleanupNanos = nowNanos;
        mRequestHistories
                .values()
                .removeIf(
                        history ->
                                nowNanos - history.mLastRequestNanos >= BORROWER_RETENTION_NANOS);
        mAllocations
                .values()
                .removeIf(allocation -> allocation.isUnused(nowNanos, BORROWER_RETENTION_NANOS));
    }
}
