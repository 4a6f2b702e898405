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
    private static final long REMEMBERED = TimeUnit.SECONDS.toNanos(10);
    private static final int NONCES_KEPT = 8;

    private record Nonce(long value, long issuedAt) {}

    private static final class Borrower {
        private final Deque<Nonce> mNonces = new ArrayDeque<>();
        private long mSequence;
        private long mSeen;
    }

    private final SlotConfiguration mTerms;
    private final Map<InstanceId, Borrower> mBorrowers = new HashMap<>();
    private final Map<WorkspaceName, LendingBook> mBooks = new HashMap<>();
    private long mNextNonce;
    private long mCleaned;

    /**
     * Creates an allocator without deposits.
     *
     * @param nonceSeed a random number, so that nonces differ from those of earlier processes
     */
    public ShareAllocator(long nowNanos, SlotConfiguration terms, long nonceSeed) {
        mTerms = Preconditions.notNull(terms, "terms");
        mNextNonce = nonceSeed;
        mCleaned = nowNanos;
    }

    /** Records deposits and answers with grants. */
    public AllocatorReply handleRequest(long nowNanos, ShareRequest request) {
        clean(nowNanos);
        Borrower borrower = mBorrowers.computeIfAbsent(request.instance(), key -> new Borrower());
        if (request.sequence() <= borrower.mSequence) {
            return new AllocatorReply(Optional.empty(), List.of());
        }
        borrower.mSequence = request.sequence();
        borrower.mSeen = nowNanos;
        Optional<Nonce> echoed =
                borrower.mNonces.stream()
                        .filter(each -> each.value == request.nonce())
                        .filter(each -> nowNanos - each.issuedAt < ShareTiming.DEPOSIT)
                        .findFirst();
        long nonce = issueNonce(nowNanos, borrower);
        List<ShareAnswer.Grant> grants = new ArrayList<>();
        Set<InstanceId> recalled = new LinkedHashSet<>();
        int deposited = 0;
        for (ShareRequest.Share share : request.shares()) {
            LendingBook book =
                    mBooks.computeIfAbsent(share.workspace(), key -> new LendingBook(nowNanos));
            book.advance(nowNanos, mTerms.slotLimit(nowNanos, share.workspace()));
            if (echoed.isPresent()) {
                long expiry = echoed.get().issuedAt + ShareTiming.DEPOSIT;
                book.record(request.instance(), share, echoed.get().value, expiry);
                deposited += share.depositedSlots();
            }
            LendingBook.Loan loan = book.lend(request.instance(), share, nonce);
            if (!loan.grant().isNone()) {
                grants.add(loan.grant());
            }
            recalled.addAll(loan.recalled());
        }
        if (request.renewsUnlisted() && echoed.isPresent()) {
            long expiry = echoed.get().issuedAt + ShareTiming.DEPOSIT;
            deposited += prolongUnlisted(nowNanos, request, expiry);
        }
        ShareAnswer answer =
                new ShareAnswer(
                        mTerms.configuration().version(),
                        request.sequence(),
                        nonce,
                        deposited,
                        grants);
        return new AllocatorReply(Optional.of(answer), List.copyOf(recalled));
    }

    /** Prolongs only deposits that still run; one that has ended may be in use elsewhere. */
    private int prolongUnlisted(long nowNanos, ShareRequest request, long expiry) {
        Set<WorkspaceName> listed = new HashSet<>();
        request.shares().forEach(share -> listed.add(share.workspace()));
        int prolonged = 0;
        for (Map.Entry<WorkspaceName, LendingBook> entry : mBooks.entrySet()) {
            if (!listed.contains(entry.getKey())) {
                LendingBook book = entry.getValue();
                book.advance(nowNanos, mTerms.slotLimit(nowNanos, entry.getKey()));
                prolonged += book.prolong(request.instance(), expiry);
            }
        }
        return prolonged;
    }

    private long issueNonce(long nowNanos, Borrower borrower) {
        mNextNonce++;
        if (mNextNonce == 0) {
            mNextNonce++;
        }
        borrower.mNonces.addLast(new Nonce(mNextNonce, nowNanos));
        if (borrower.mNonces.size() > NONCES_KEPT) {
            borrower.mNonces.removeFirst();
        }
        return mNextNonce;
    }

    private void clean(long nowNanos) {
        if (nowNanos - mCleaned < REMEMBERED) {
            return;
        }
        mCleaned = nowNanos;
        mBorrowers.values().removeIf(each -> nowNanos - each.mSeen >= REMEMBERED);
        mBooks.values().removeIf(book -> book.isAbandoned(nowNanos, REMEMBERED));
    }
}
