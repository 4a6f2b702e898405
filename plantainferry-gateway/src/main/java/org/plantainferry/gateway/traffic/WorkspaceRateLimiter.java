package org.plantainferry.gateway.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.plantainferry.engine.quota.DemandRate;
import org.plantainferry.engine.quota.DemandReportPolicy;
import org.plantainferry.engine.quota.DemandShares;
import org.plantainferry.engine.quota.LimitOwners;
import org.plantainferry.engine.quota.LimitTolerance;
import org.plantainferry.engine.quota.PrefetchedTokens;
import org.plantainferry.engine.quota.ResizableTokenBucket;

/**
 * Enforces the rate limit of each workspace on this instance.
 *
 * <p>A limit that is large relative to the fleet is divided among the instances by demand. A small
 * limit is enforced by a few owner instances, from which the others request tokens (see {@link
 * LimitOwners}).
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class WorkspaceRateLimiter {
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final long TOKEN_REQUEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long REPORT_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long RESIZE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Holds the limiter state of one workspace. */
    private static final class Share {
        private final DemandRate mDemand;
        private final ResizableTokenBucket mBucket;
        private final PrefetchedTokens mPrefetched = new PrefetchedTokens();
        private double mReportedDemand;
        private double mFraction;
        private long mResizedNanos;
        private boolean mResized;
        private long mNextRequestNanos;

        Share(long nowNanos) {
            mDemand = new DemandRate(nowNanos);
            mBucket = new ResizableTokenBucket(nowNanos);
            mNextRequestNanos = nowNanos;
        }

        /**
         * Records the response to a token request. After a refusal, further requests pause, because
         * they would only be refused again.
         */
        void recordTokenResponse(TokenGrant grant, long nowNanos) {
            long pause = TOKEN_REQUEST_PAUSE_NANOS;
            if (grant.retryAfterMillis() > 0) {
                pause = Math.min(pause, TimeUnit.MILLISECONDS.toNanos(grant.retryAfterMillis()));
            }
            mNextRequestNanos = grant.granted() ? nowNanos : nowNanos + pause;
        }
    }

    private final String mInstance;
    private final String mFailureDomain;
    private final Supplier<FleetView> mView;
    private final LimitTolerance mTolerance;
    private final LongSupplier mSteadyClock;
    private final TokenBorrower mBorrower;
    private final Consumer<Map<String, Double>> mReportSink;
    private final DemandReportPolicy mReportPolicy;
    private long mReportCheckNanos;
    private final DemandShares mShares;
    private final Map<String, Share> mByWorkspace = new HashMap<>();
    private Map<String, String> mOwnersComputedFrom = Map.of();
    private LimitOwners mOwners;

    WorkspaceRateLimiter(
            String instance,
            String failureDomain,
            Supplier<FleetView> view,
            LimitTolerance tolerance,
            LongSupplier steadyClock,
            TokenBorrower borrower,
            Consumer<Map<String, Double>> reportSink) {
        mInstance = instance;
        mFailureDomain = failureDomain;
        mOwners = new LimitOwners(failureDomain, Map.of(instance, failureDomain));
        mView = view;
        mTolerance = tolerance;
        mSteadyClock = steadyClock;
        mBorrower = borrower;
        mReportSink = reportSink;
        mReportCheckNanos = steadyClock.getAsLong();
        mShares = new DemandShares(mReportCheckNanos);
        mReportPolicy = new DemandReportPolicy(mReportCheckNanos);
    }

    /**
     * Counts an operation against the limit of its workspace.
     *
     * @param callback receives nothing when the operation is admitted, or the milliseconds after
     *     which the caller may retry; it runs once, either during the call or after other instances
     *     have responded to a token request
     */
    void take(String workspace, Consumer<Optional<Long>> callback) {
        WorkspaceLimit limit = mView.get().configuration().limits().get(workspace);
        if (limit != null && owners().isEnforcedByOwners(limit)) {
            takeOwned(workspace, limit, callback);
            return;
        }
        Optional<Long> retryAfterMillis = takeFromOwnShare(workspace, true);
        if (retryAfterMillis.isEmpty() || !mayRequestTokens(workspace)) {
            callback.accept(retryAfterMillis);
            return;
        }
        mBorrower.borrow(
                workspace,
                List.of(),
                1,
                grant -> {
                    recordTokenResponse(workspace, grant);
                    callback.accept(grant.granted() ? Optional.empty() : retryAfterMillis);
                });
    }

    private void recordTokenResponse(String workspace, TokenGrant grant) {
        Share share = mByWorkspace.get(workspace);
        if (share != null) {
            share.recordTokenResponse(grant, mSteadyClock.getAsLong());
        }
    }

    /** Returns the limit owners for the current set of instances. */
    private LimitOwners owners() {
        Map<String, String> others = mView.get().otherInstanceDomains();
        if (others != mOwnersComputedFrom) {
            Map<String, String> domains = new HashMap<>(others);
            domains.put(mInstance, mFailureDomain);
            mOwners = new LimitOwners(mFailureDomain, domains);
            mOwnersComputedFrom = others;
        }
        return mOwners;
    }

    /** Takes a token of a limit that a few owner instances enforce. */
    private void takeOwned(
            String workspace, WorkspaceLimit limit, Consumer<Optional<Long>> callback) {
        long now = mSteadyClock.getAsLong();
        Share share = shareOf(workspace, now);
        share.mDemand.count(now);
        List<String> lenders = new ArrayList<>(mOwners.owners(workspace));
        boolean isOwner = lenders.remove(mInstance);
        if (share.mPrefetched.tryAcquire(now)
                || (isOwner && resizedOwnerBucket(share, limit).tryAcquire(now))) {
            callback.accept(Optional.empty());
            return;
        }
        long ownRetryMillis =
                isOwner ? share.mBucket.millisUntilToken(now, MAX_RETRY_MILLIS) : MAX_RETRY_MILLIS;
        if (!mayRequestTokens(workspace)) {
            long pause = TimeUnit.NANOSECONDS.toMillis(share.mNextRequestNanos - now) + 1;
            callback.accept(Optional.of(Math.min(ownRetryMillis, pause)));
            return;
        }
        mBorrower.borrow(
                workspace,
                lenders,
                PrefetchedTokens.requestCount(share.mDemand.perSecond(now)),
                grant -> onGrant(workspace, grant, ownRetryMillis, callback));
    }

    private void onGrant(
            String workspace,
            TokenGrant grant,
            long ownRetryMillis,
            Consumer<Optional<Long>> callback) {
        recordTokenResponse(workspace, grant);
        if (grant.granted()) {
            long now = mSteadyClock.getAsLong();
            shareOf(workspace, now).mPrefetched.add(grant.tokens() - 1, now);
            callback.accept(Optional.empty());
            return;
        }
        long grantRetryMillis = grant.retryAfterMillis();
        callback.accept(
                Optional.of(
                        grantRetryMillis == 0
                                ? ownRetryMillis
                                : Math.min(ownRetryMillis, grantRetryMillis)));
    }

    private Share shareOf(String workspace, long nowNanos) {
        return mByWorkspace.computeIfAbsent(workspace, key -> new Share(nowNanos));
    }

    /** Returns the bucket of this owner, resized to its current part of the limit. */
    private ResizableTokenBucket resizedOwnerBucket(Share share, WorkspaceLimit limit) {
        int ownerCount = mOwners.ownerCount();
        WorkspaceLimit ownedLimit = LimitOwners.ownerLimit(limit, ownerCount);
        share.mBucket.resize(
                ownedLimit.ratePerSecond(),
                ownedLimit.burst() + mTolerance.extraTokens(limit, ownerCount),
                mSteadyClock.getAsLong());
        return share.mBucket;
    }

    /** Describes the state of the limit of a workspace on this instance, for logs. */
    String describe(String workspace) {
        Share share = mByWorkspace.get(workspace);
        WorkspaceLimit limit = mView.get().configuration().limits().get(workspace);
        if (share == null || limit == null) {
            return "no limit";
        }
        long now = mSteadyClock.getAsLong();
        if (owners().isEnforcedByOwners(limit)) {
            return String.format(
                    "rate=%.1f keepers=%s demand=%.2f",
                    limit.ratePerSecond(), mOwners.owners(workspace), share.mDemand.perSecond(now));
        }
        return String.format(
                "rate=%.1f part=%.4f demand=%.2f reported=%.2f others=%s",
                limit.ratePerSecond(),
                share.mFraction,
                share.mDemand.perSecond(now),
                share.mReportedDemand,
                mShares.describe(workspace, mView.get().otherInstances(), now));
    }

    /**
     * Takes tokens for operations of another instance.
     *
     * @param wanted how many tokens it can use; more than one is granted only while many are left
     */
    TokenGrant lend(String workspace, int wanted) {
        WorkspaceLimit limit = mView.get().configuration().limits().get(workspace);
        if (limit == null) {
            return TokenGrant.NONE;
        }
        if (owners().isEnforcedByOwners(limit)) {
            return lendOwned(workspace, limit, wanted);
        }
        return takeFromOwnShare(workspace, false)
                .map(retryAfterMillis -> new TokenGrant(0, retryAfterMillis))
                .orElse(new TokenGrant(1, 0));
    }

    private TokenGrant lendOwned(String workspace, WorkspaceLimit limit, int wanted) {
        if (!mOwners.owners(workspace).contains(mInstance)) {
            return TokenGrant.NONE;
        }
        long now = mSteadyClock.getAsLong();
        ResizableTokenBucket bucket = resizedOwnerBucket(shareOf(workspace, now), limit);
        int tokens = bucket.acquireUpTo(wanted, now);
        return tokens > 0
                ? new TokenGrant(tokens, 0)
                : new TokenGrant(0, bucket.millisUntilToken(now, MAX_RETRY_MILLIS));
    }

    private boolean mayRequestTokens(String workspace) {
        Share share = mByWorkspace.get(workspace);
        return share != null && mSteadyClock.getAsLong() - share.mNextRequestNanos >= 0;
    }

    private Optional<Long> takeFromOwnShare(String workspace, boolean isOwnDemand) {
        WorkspaceLimit limit = mView.get().configuration().limits().get(workspace);
        if (limit == null) {
            return Optional.empty();
        }
        long now = mSteadyClock.getAsLong();
        Share share = shareOf(workspace, now);
        if (isOwnDemand) {
            share.mDemand.count(now);
            if (now - mReportCheckNanos >= REPORT_CHECK_INTERVAL_NANOS) {
                reportDemand();
            }
        }
        resize(workspace, share, limit, now);
        if (share.mBucket.tryAcquire(now)) {
            return Optional.empty();
        }
        return Optional.of(share.mBucket.millisUntilToken(now, MAX_RETRY_MILLIS));
    }

    private void resize(String workspace, Share share, WorkspaceLimit limit, long now) {
        if (share.mResized && now - share.mResizedNanos < RESIZE_INTERVAL_NANOS) {
            return;
        }
        share.mResized = true;
        share.mResizedNanos = now;
        FleetView view = mView.get();
        double fraction =
                mShares.share(
                        workspace,
                        view.otherInstances(),
                        share.mReportedDemand,
                        limit.ratePerSecond(),
                        now);
        share.mFraction = fraction;
        int instances = view.otherInstances().size() + 1;
        share.mBucket.resize(
                limit.ratePerSecond() * fraction,
                limit.burst() * fraction + mTolerance.extraTokens(limit, instances),
                now);
    }

    /** Records the demand that another instance reported, in operations per second by workspace. */
    void onDemandReport(String instance, Map<String, Double> demandPerSecond) {
        mShares.report(instance, demandPerSecond, mSteadyClock.getAsLong());
    }

    /**
     * Reports the demand on this instance when a report is due, and resizes the shares to match it.
     */
    void reportDemand() {
        long now = mSteadyClock.getAsLong();
        mReportCheckNanos = now;
        Map<String, Double> demand = new HashMap<>();
        Map<String, WorkspaceLimit> limits = mView.get().configuration().limits();
        LimitOwners owners = owners();
        if (limits.values().stream().allMatch(owners::isEnforcedByOwners)) {
            // No limit is divided by demand, so no instance needs the report.
            return;
        }
        mByWorkspace.forEach(
                (workspace, share) -> {
                    WorkspaceLimit limit = limits.get(workspace);
                    if (limit != null && !owners.isEnforcedByOwners(limit)) {
                        demand.put(workspace, share.mDemand.perSecond(now));
                    }
                });
        if (!mReportPolicy.recordIfDue(demand, now)) {
            return;
        }
        mByWorkspace.forEach(
                (workspace, share) -> {
                    share.mReportedDemand = demand.getOrDefault(workspace, 0.0);
                    share.mResized = false;
                });
        mReportSink.accept(nearestToLimitFirst(demand, limits));
    }

    /** Returns the demand in order of its ratio to the limit, the highest first. */
    private static Map<String, Double> nearestToLimitFirst(
            Map<String, Double> demand, Map<String, WorkspaceLimit> limits) {
        Comparator<String> byRatio =
                Comparator.comparingDouble(
                        workspace -> demand.get(workspace) / limits.get(workspace).ratePerSecond());
        Map<String, Double> sorted = new LinkedHashMap<>();
        demand.keySet().stream()
                .sorted(byRatio.reversed())
                .forEach(workspace -> sorted.put(workspace, demand.get(workspace)));
        return sorted;
    }

    /** Discards the state of workspaces that are no longer in the configuration. */
    void discardRemovedWorkspaces() {
        mByWorkspace.keySet().retainAll(mView.get().configuration().limits().keySet());
    }
}
