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
    private static final long ACKNOWLEDGEMENT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    // With 500 workspaces a look at each of them on every tick would take some percent of a core.
    private static final long SCAN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final InstanceId mSelf;
    private final SlotConfiguration mSlotConfiguration;
    private final Map<WorkspaceName, WorkspaceShareState> mShares = new LinkedHashMap<>();
    private final Map<WorkspaceName, WorkspaceTokenBucket> mBuckets = new ConcurrentHashMap<>();
    private final Map<InstanceId, AllocatorLink> mLinks = new HashMap<>();
    private final Map<InstanceId, Set<WorkspaceShareState>> mSharesByAllocator =
            new LinkedHashMap<>();
    private long mSequence;
    private long mLastScanNanos;
    private int mLastScanSlots = -1;
    private long mConfigurationVersion = -1;

    // Until this time no request prolongs deposits without listing them.
    private long mListAllUntilNanos;

    /** Creates a holder without slots. */
    public ShareHolder(long nowNanos, InstanceId self, SlotConfiguration terms) {
        mSelf = Preconditions.notNull(self, "self");
        mSlotConfiguration = Preconditions.notNull(terms, "terms");
        mListAllUntilNanos = nowNanos;
        applyConfiguration(nowNanos);
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
        applyConfiguration(nowNanos);
        if (usableSlots != mLastScanSlots || nowNanos - mLastScanNanos >= SCAN_PERIOD_NANOS) {
            scan(nowNanos, usableSlots, ranking);
        }
        mShares.values().stream()
                .filter(share -> share.bucket().isTokenRequestWanted() && share.allocator() != null)
                .forEach(this::addToAllocator);
        List<SendShareRequest> requests = new ArrayList<>();
        mSharesByAllocator.forEach(
                (allocator, shares) -> {
                    AllocatorLink link = link(allocator);
                    if (isDue(nowNanos, link, shares)) {
                        ShareRequest request = buildRequest(nowNanos, link, shares, usableSlots);
                        requests.add(new SendShareRequest(allocator, request));
                    }
                });
        return requests;
    }

    /** Renews all permanent parts and finds out which allocators are needed. */
    private void scan(long nowNanos, int usableSlots, AllocatorRanking ranking) {
        mLastScanNanos = nowNanos;
        mLastScanSlots = usableSlots;
        mSharesByAllocator.clear();
        for (WorkspaceShareState share : mShares.values()) {
            chooseAllocator(nowNanos, share, ranking.candidates(share.name()));
            share.refreshOwnLimit(
                    nowNanos, usableSlots, mSlotConfiguration.slotLimit(nowNanos, share.name()));
            if (share.allocator() != null && share.needsAllocator(nowNanos, usableSlots)) {
                addToAllocator(share);
                if (share.isGrantUnused(nowNanos)) {
                    link(share.allocator()).scheduleEarlyRequest(nowNanos);
                }
            }
        }
    }

    private void addToAllocator(WorkspaceShareState share) {
        mSharesByAllocator
                .computeIfAbsent(share.allocator(), key -> new LinkedHashSet<>())
                .add(share);
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
        link.recordAnswer(nowNanos, answer.nonce(), answer.depositedSlots());
        if (firstNonce) {
            link.scheduleEarlyRequest(nowNanos);
        }
        List<WorkspaceName> woken = new ArrayList<>();
        Map<WorkspaceName, ShareAnswer.Grant> grants = new HashMap<>();
        answer.grants().forEach(grant -> grants.put(grant.workspace(), grant));
        for (WorkspaceShareState share : link.listed()) {
            if (mShares.get(share.name()) != share || !allocator.equals(share.allocator())) {
                continue;
            }
            ShareAnswer.Grant grant =
                    grants.getOrDefault(share.name(), ShareAnswer.Grant.none(share.name()));
            if (share.bucket().waitingRequests() > 0 && grant.ratePerSecond() > 0) {
                link.scheduleEarlyRequest(nowNanos + ACKNOWLEDGEMENT_DELAY_NANOS);
            }
            if (share.install(nowNanos, grant, link.sentNanos())) {
                link.scheduleEarlyRequest(nowNanos);
            }
            if (grant.retryAfterNanos() > 0 && share.bucket().waitingRequests() > 0) {
                link.scheduleEarlyRequest(nowNanos + grant.retryAfterNanos());
            }
            woken.add(grant.workspace());
        }
        return woken;
    }

    /** Handles the wish of an allocator for an early request, to lend shares to others. */
    public void handleRecall(long nowNanos, InstanceId allocator) {
        AllocatorLink link = mLinks.get(allocator);
        if (link != null) {
            link.scheduleEarlyRequest(nowNanos);
        }
    }

    /** Returns the greatest number of slots that are deposited for any workspace. */
    public int runningDeposits(long nowNanos) {
        return mShares.values().stream()
                .mapToInt(share -> share.runningDeposits(nowNanos))
                .max()
                .orElse(0);
    }

    private boolean isDue(
            long nowNanos, AllocatorLink link, Collection<WorkspaceShareState> shares) {
        boolean isDueAnyway = link.isPeriodDue(nowNanos) || link.isEarlyRequestDue(nowNanos);
        boolean asked = false;
        for (WorkspaceShareState share : shares) {
            if (share.bucket().takeTokenRequest() && !isDueAnyway) {
                asked |= mayRequestEarly(nowNanos, share);
            }
        }
        if (isDueAnyway) {
            return true;
        }
        if (!asked) {
            return false;
        }
        link.scheduleEarlyRequest(nowNanos);
        return link.isEarlyRequestDue(nowNanos);
    }

    /** Ends the ask of a workspace that asks too often; the asks of others are not affected. */
    private static boolean mayRequestEarly(long nowNanos, WorkspaceShareState share) {
        if (share.tryTakeEarlyRequest(nowNanos)) {
            return true;
        }
        share.bucket().endTokenRequest(nowNanos, false);
        return false;
    }

    private ShareRequest buildRequest(
            long nowNanos,
            AllocatorLink link,
            Collection<WorkspaceShareState> shares,
            int usableSlots) {
        long nonce = link.nonce(nowNanos);
        // An unanswered request means that the allocator may be gone: the deposit is not prolonged,
        // so that the slots can be used elsewhere soon.
        boolean deposits = nonce != 0 && !link.isOutstanding();
        boolean compact = deposits && !link.mustListAll() && nowNanos - mListAllUntilNanos >= 0;
        List<ShareRequest.Share> entries = new ArrayList<>();
        List<WorkspaceShareState> listed = new ArrayList<>();
        int depositedSlots = 0;
        for (WorkspaceShareState share : shares) {
            boolean listAll = deposits && !compact;
            if (!listAll && !share.needsEntry(nowNanos, usableSlots, deposits)) {
                depositedSlots += compact ? share.renewDeposits(nowNanos) : 0;
                continue;
            }
            int deposited = deposits && share.mayDeposit() ? usableSlots : 0;
            depositedSlots += deposited;
            listed.add(share);
            SlotLimit terms = mSlotConfiguration.slotLimit(nowNanos, share.name());
            entries.add(share.deposit(nowNanos, deposited, usableSlots, terms));
        }
        mSequence++;
        link.recordRequest(nowNanos, mSequence, listed, depositedSlots);
        long version = mSlotConfiguration.configuration().version();
        return new ShareRequest(mSelf, version, mSequence, nonce, compact, entries);
    }

    private void chooseAllocator(
            long nowNanos, WorkspaceShareState share, List<InstanceId> candidates) {
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

    private void applyConfiguration(long nowNanos) {
        if (mSlotConfiguration.configuration().version() == mConfigurationVersion) {
            return;
        }
        mConfigurationVersion = mSlotConfiguration.configuration().version();
        mLastScanSlots = -1;
        mSharesByAllocator.clear();
        for (Workspace workspace : mSlotConfiguration.configuration().parts().workspaces()) {
            mShares.computeIfAbsent(
                    workspace.name(), name -> new WorkspaceShareState(nowNanos, name));
        }
        // The deposits of a removed workspace must run out before it can come back.
        if (mShares.keySet()
                .removeIf(name -> mSlotConfiguration.configuration().workspace(name).isEmpty())) {
            mListAllUntilNanos = nowNanos + ShareTiming.HOLDER_DEPOSIT_LIFETIME_NANOS;
        }
        mBuckets.keySet().retainAll(mShares.keySet());
        mShares.forEach((name, share) -> mBuckets.put(name, share.bucket()));
    }
}
