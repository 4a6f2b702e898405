package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.Workspace;

/**
 * Deposits the share slots of one instance with allocators and borrows grants for its traffic.
 *
 * <p>Used by the control thread only, except {@link #bucket}. The caller runs {@link #tick} every
 * 10 to 20 ms, and at once when a bucket has told a caller to wait.
 *
 * @since 0.1
 */
public final class ShareHolder {
    // Until a grant is acknowledged, the allocator counts the earlier grant and the new tokens.
    private static final long ACKNOWLEDGE_AFTER = TimeUnit.MILLISECONDS.toNanos(30);

    // With 500 workspaces a look at each of them on every tick would take some percent of a core.
    private static final long SCAN_PERIOD = TimeUnit.MILLISECONDS.toNanos(50);

    private final InstanceId mSelf;
    private final SlotConfiguration mTerms;
    private final Map<WorkspaceName, HeldShare> mShares = new LinkedHashMap<>();
    private final Map<WorkspaceName, WorkspaceTokenBucket> mBuckets = new ConcurrentHashMap<>();
    private final Map<InstanceId, AllocatorLink> mLinks = new HashMap<>();
    private final Map<InstanceId, Set<HeldShare>> mInterested = new LinkedHashMap<>();
    private long mSequence;
    private long mScanned;
    private int mScannedSlots = -1;
    private long mConfigurationVersion = -1;

    // Until this time no request prolongs deposits without listing them.
    private long mListAllUntil;

    /** Creates a holder without slots. */
    public ShareHolder(long nowNanos, InstanceId self, SlotConfiguration terms) {
        mSelf = Preconditions.notNull(self, "self");
        mTerms = Preconditions.notNull(terms, "terms");
        mListAllUntil = nowNanos;
        followConfiguration(nowNanos);
    }

    /** Returns the bucket of a configured workspace; may be called from any thread. */
    public Optional<WorkspaceTokenBucket> bucket(WorkspaceName workspace) {
        return Optional.ofNullable(mBuckets.get(workspace));
    }

    /**
     * Renews the permanent parts and returns the requests that are due.
     *
     * @param usableSlots the slots held by this instance that it may spend now
     * @param ranking ranks the live instances for each workspace
     */
    public List<SendShareRequest> tick(long nowNanos, int usableSlots, AllocatorRanking ranking) {
        followConfiguration(nowNanos);
        if (usableSlots != mScannedSlots || nowNanos - mScanned >= SCAN_PERIOD) {
            scan(nowNanos, usableSlots, ranking);
        }
        mShares.values().stream()
                .filter(share -> share.bucket().isTokenRequestWanted() && share.allocator() != null)
                .forEach(this::addInterested);
        List<SendShareRequest> requests = new ArrayList<>();
        mInterested.forEach(
                (allocator, shares) -> {
                    AllocatorLink link = link(allocator);
                    if (isDue(nowNanos, link, shares)) {
                        ShareRequest request = request(nowNanos, link, shares, usableSlots);
                        requests.add(new SendShareRequest(allocator, request));
                    }
                });
        return requests;
    }

    /** Renews all permanent parts and finds out which allocators are needed. */
    private void scan(long nowNanos, int usableSlots, AllocatorRanking ranking) {
        mScanned = nowNanos;
        mScannedSlots = usableSlots;
        mInterested.clear();
        for (HeldShare share : mShares.values()) {
            chooseAllocator(nowNanos, share, ranking.candidates(share.name()));
            share.refreshPermanent(nowNanos, usableSlots, mTerms.slotLimit(nowNanos, share.name()));
            if (share.allocator() != null && share.isInterested(nowNanos, usableSlots)) {
                addInterested(share);
                if (share.isGrantUnused(nowNanos)) {
                    link(share.allocator()).makeUrgent(nowNanos);
                }
            }
        }
    }

    private void addInterested(HeldShare share) {
        mInterested.computeIfAbsent(share.allocator(), key -> new LinkedHashSet<>()).add(share);
    }

    /**
     * Applies an answer; one that is late or was applied before is ignored.
     *
     * @return the workspaces whose waiting requests should try again
     */
    public List<WorkspaceName> applyAnswer(
            long nowNanos, InstanceId allocator, ShareAnswer answer) {
        AllocatorLink link = mLinks.get(allocator);
        if (link == null || !link.accepts(answer.sequence())) {
            return List.of();
        }
        boolean firstNonce = link.nonce(nowNanos) == 0;
        link.answered(nowNanos, answer.nonce(), answer.depositedSlots());
        if (firstNonce) {
            link.makeUrgent(nowNanos);
        }
        List<WorkspaceName> woken = new ArrayList<>();
        Map<WorkspaceName, ShareAnswer.Grant> grants = new HashMap<>();
        answer.grants().forEach(grant -> grants.put(grant.workspace(), grant));
        for (HeldShare share : link.listed()) {
            if (mShares.get(share.name()) != share || !allocator.equals(share.allocator())) {
                continue;
            }
            ShareAnswer.Grant grant =
                    grants.getOrDefault(share.name(), ShareAnswer.Grant.none(share.name()));
            if (share.bucket().waitingRequests() > 0 && grant.ratePerSecond() > 0) {
                link.makeUrgent(nowNanos + ACKNOWLEDGE_AFTER);
            }
            if (share.install(nowNanos, grant, link.sentAt())) {
                link.makeUrgent(nowNanos);
            }
            if (grant.retryAfterNanos() > 0 && share.bucket().waitingRequests() > 0) {
                link.makeUrgent(nowNanos + grant.retryAfterNanos());
            }
            woken.add(grant.workspace());
        }
        return woken;
    }

    /** Handles the wish of an allocator for an early request, to lend shares to others. */
    public void handleRecall(long nowNanos, InstanceId allocator) {
        AllocatorLink link = mLinks.get(allocator);
        if (link != null) {
            link.makeUrgent(nowNanos);
        }
    }

    /** Returns the greatest number of slots that are deposited for any workspace. */
    public int runningDeposits(long nowNanos) {
        return mShares.values().stream()
                .mapToInt(share -> share.runningDeposits(nowNanos))
                .max()
                .orElse(0);
    }

    private boolean isDue(long nowNanos, AllocatorLink link, Collection<HeldShare> shares) {
        boolean isDueAnyway = link.isPeriodDue(nowNanos) || link.isUrgent(nowNanos);
        boolean asked = false;
        for (HeldShare share : shares) {
            if (share.bucket().takeTokenRequest() && !isDueAnyway) {
                asked |= mayAsk(nowNanos, share);
            }
        }
        if (isDueAnyway) {
            return true;
        }
        if (!asked) {
            return false;
        }
        link.makeUrgent(nowNanos);
        return link.isUrgent(nowNanos);
    }

    /** Ends the ask of a workspace that asks too often; the asks of others are not affected. */
    private static boolean mayAsk(long nowNanos, HeldShare share) {
        if (share.mayAskEarly(nowNanos)) {
            return true;
        }
        share.bucket().endTokenRequest(nowNanos, false);
        return false;
    }

    private ShareRequest request(
            long nowNanos, AllocatorLink link, Collection<HeldShare> shares, int usableSlots) {
        long nonce = link.nonce(nowNanos);
        // An unanswered request means that the allocator may be gone: the deposit is not prolonged,
        // so that the slots can be used elsewhere soon.
        boolean deposits = nonce != 0 && !link.isOutstanding();
        boolean compact = deposits && !link.mustListAll() && nowNanos - mListAllUntil >= 0;
        List<ShareRequest.Share> entries = new ArrayList<>();
        List<HeldShare> listed = new ArrayList<>();
        int depositedSlots = 0;
        for (HeldShare share : shares) {
            boolean listAll = deposits && !compact;
            if (!listAll && !share.needsEntry(nowNanos, usableSlots, deposits)) {
                depositedSlots += compact ? share.prolong(nowNanos) : 0;
                continue;
            }
            int deposited = deposits && share.mayDeposit() ? usableSlots : 0;
            depositedSlots += deposited;
            listed.add(share);
            SlotLimit terms = mTerms.slotLimit(nowNanos, share.name());
            entries.add(share.deposit(nowNanos, deposited, usableSlots, terms));
        }
        mSequence++;
        link.sent(nowNanos, mSequence, listed, depositedSlots);
        long version = mTerms.configuration().version();
        return new ShareRequest(mSelf, version, mSequence, nonce, compact, entries);
    }

    private void chooseAllocator(long nowNanos, HeldShare share, List<InstanceId> candidates) {
        if (candidates.isEmpty()) {
            return;
        }
        InstanceId preferred =
                candidates.stream()
                        .filter(each -> !link(each).isAvoided(nowNanos))
                        .findFirst()
                        .orElse(candidates.get(0));
        boolean answers = share.allocator() != null && !link(share.allocator()).isAvoided(nowNanos);
        share.chooseAllocator(nowNanos, preferred, answers);
    }

    private AllocatorLink link(InstanceId allocator) {
        return mLinks.computeIfAbsent(allocator, key -> new AllocatorLink());
    }

    private void followConfiguration(long nowNanos) {
        if (mTerms.configuration().version() == mConfigurationVersion) {
            return;
        }
        mConfigurationVersion = mTerms.configuration().version();
        mScannedSlots = -1;
        mInterested.clear();
        for (Workspace workspace : mTerms.configuration().parts().workspaces()) {
            mShares.computeIfAbsent(workspace.name(), name -> new HeldShare(nowNanos, name));
        }
        // The deposits of a removed workspace must run out before it can come back.
        if (mShares.keySet().removeIf(name -> mTerms.configuration().workspace(name).isEmpty())) {
            mListAllUntil = nowNanos + ShareTiming.DEPOSIT_AT_HOLDER;
        }
        mBuckets.keySet().retainAll(mShares.keySet());
        mShares.forEach((name, share) -> mBuckets.put(name, share.bucket()));
    }
}
