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
 * Lends deposited shares to borrowers by demand.
 *
 * <p>Each instance has one; the workspaces that it allocates are those for which it receives
 * requests. Used by the control thread only.
 *
 * @since 0.1
 */
public final class ShareAllocator {
    // Longer than any deposit, so that a repeated request never meets a forgotten sequence number
    // together with a remembered nonce.
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
    public ShareAllocator(long nowNanos, SlotConfiguration terms, long nonceSeed) {
        mSlotConfiguration = Preconditions.notNull(terms, "terms");
        mNextNonce = nonceSeed;
        mLastCleanupNanos = nowNanos;
    }

    /** Records deposits and answers with grants. */
    public AllocatorReply handleRequest(long nowNanos, ShareRequest request) {
        removeUnused(nowNanos);
        RequestHistory borrower =
                mRequestHistories.computeIfAbsent(request.instance(), key -> new RequestHistory());
        if (request.sequence() <= borrower.mLastSequence) {
            return new AllocatorReply(Optional.empty(), List.of());
        }
        borrower.mLastSequence = request.sequence();
        borrower.mLastRequestNanos = nowNanos;
        Optional<Nonce> echoed =
                borrower.mNonces.stream()
                        .filter(each -> each.value == request.nonce())
                        .filter(
                                each ->
                                        nowNanos - each.issuedNanos
                                                < ShareTiming.DEPOSIT_LIFETIME_NANOS)
                        .findFirst();
        long nonce = issueNonce(nowNanos, borrower);
        List<ShareAnswer.Grant> grants = new ArrayList<>();
        Set<InstanceId> recalled = new LinkedHashSet<>();
        int deposited = 0;
        for (ShareRequest.Share share : request.shares()) {
            WorkspaceAllocation book =
                    mAllocations.computeIfAbsent(
                            share.workspace(), key -> new WorkspaceAllocation(nowNanos));
            book.advance(nowNanos, mSlotConfiguration.slotLimit(nowNanos, share.workspace()));
            if (echoed.isPresent()) {
                long expiry = echoed.get().issuedNanos + ShareTiming.DEPOSIT_LIFETIME_NANOS;
                book.recordDeposit(request.instance(), share, echoed.get().value, expiry);
                deposited += share.depositedSlots();
            }
            WorkspaceAllocation.Allocation loan = book.allocate(request.instance(), share, nonce);
            if (!loan.grant().isNone()) {
                grants.add(loan.grant());
            }
            recalled.addAll(loan.recalled());
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

    /** Prolongs only deposits that still run; one that has ended may be in use elsewhere. */
    private int renewUnlistedDeposits(long nowNanos, ShareRequest request, long expiry) {
        Set<WorkspaceName> listed = new HashSet<>();
        request.shares().forEach(share -> listed.add(share.workspace()));
        int prolonged = 0;
        for (Map.Entry<WorkspaceName, WorkspaceAllocation> entry : mAllocations.entrySet()) {
            if (!listed.contains(entry.getKey())) {
                WorkspaceAllocation book = entry.getValue();
                book.advance(nowNanos, mSlotConfiguration.slotLimit(nowNanos, entry.getKey()));
                prolonged += book.renewDeposits(request.instance(), expiry);
            }
        }
        return prolonged;
    }

    private long issueNonce(long nowNanos, RequestHistory borrower) {
        mNextNonce++;
        if (mNextNonce == 0) {
            mNextNonce++;
        }
        borrower.mNonces.addLast(new Nonce(mNextNonce, nowNanos));
        if (borrower.mNonces.size() > RETAINED_NONCES) {
            borrower.mNonces.removeFirst();
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
                .removeIf(each -> nowNanos - each.mLastRequestNanos >= BORROWER_RETENTION_NANOS);
        mAllocations.values().removeIf(book -> book.isUnused(nowNanos, BORROWER_RETENTION_NANOS));
    }
}
