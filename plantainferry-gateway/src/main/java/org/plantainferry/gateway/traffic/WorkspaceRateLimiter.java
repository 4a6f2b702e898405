package org.plantainferry.gateway.traffic;

import java.util.ArrayList;
import java.util.HashMap;
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
 * Holds the share of this instance in the limit of each workspace.
 *
 * <p>Limits that are large for the fleet are divided by demand; small ones are kept by a few
 * instances, which the others ask (see {@link LimitOwners}).
 *
 * <p>Used by the traffic thread only.
 */
final class WorkspaceRateLimiter {
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final long TOKEN_REQUEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long REPORT_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long RESIZE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Holds what is known of one workspace. */
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

        /** When nobody has a token, further questions would only repeat the answer. */
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
    private final DemandShares mShares = new DemandShares();
    private final Map<String, Share> mByWorkspace = new HashMap<>();
    private Map<String, String> mOwnersComputedFrom = Map.of();
    private LimitOwners mOwners;

    WorkspaceRateLimiter(
            String instance,
            String failureDomain,
            Supplier<FleetView> view,
            LimitTolerance terms,
            LongSupplier steadyClock,
            TokenBorrower lender,
            Consumer<Map<String, Double>> reports) {
        mInstance = instance;
        mFailureDomain = failureDomain;
        mOwners = new LimitOwners(failureDomain, Map.of(instance, failureDomain));
        mView = view;
        mTolerance = terms;
        mSteadyClock = steadyClock;
        mBorrower = lender;
        mReportSink = reports;
        mReportCheckNanos = steadyClock.getAsLong();
        mReportPolicy = new DemandReportPolicy(mReportCheckNanos);
    }

    /**
     * Counts an operation.
     *
     * @param callback receives nothing when the operation may go on, or the milliseconds after
     *     which to come back; it runs once, now or after other instances were asked for a token
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

    /** Returns the keepers for the present view. */
    private LimitOwners owners() {
        Map<String, String> others = mView.get().otherInstanceDomains();
        if (others != mOwnersComputedFrom) {
            Map<String, String> all = new HashMap<>(others);
            all.put(mInstance, mFailureDomain);
            mOwners = new LimitOwners(mFailureDomain, all);
            mOwnersComputedFrom = others;
        }
        return mOwners;
    }

    /** Takes a token of a limit that a few instances keep. */
    private void takeOwned(
            String workspace, WorkspaceLimit limit, Consumer<Optional<Long>> callback) {
        long now = mSteadyClock.getAsLong();
        Share share = shareOf(workspace, now);
        share.mDemand.count(now);
        List<String> lenders = new ArrayList<>(mOwners.owners(workspace));
        boolean isKeeper = lenders.remove(mInstance);
        if (share.mPrefetched.tryAcquire(now)
                || (isKeeper && resizedOwnerBucket(share, limit).tryAcquire(now))) {
            callback.accept(Optional.empty());
            return;
        }
        long ownMillis =
                isKeeper ? share.mBucket.millisUntilToken(now, MAX_RETRY_MILLIS) : MAX_RETRY_MILLIS;
        if (!mayRequestTokens(workspace)) {
            long pause = TimeUnit.NANOSECONDS.toMillis(share.mNextRequestNanos - now) + 1;
            callback.accept(Optional.of(Math.min(ownMillis, pause)));
            return;
        }
        mBorrower.borrow(
                workspace,
                lenders,
                PrefetchedTokens.requestCount(share.mDemand.perSecond(now)),
                grant -> onGrant(workspace, grant, ownMillis, callback));
    }

    private void onGrant(
            String workspace, TokenGrant grant, long ownMillis, Consumer<Optional<Long>> callback) {
        recordTokenResponse(workspace, grant);
        if (grant.granted()) {
            long now = mSteadyClock.getAsLong();
            shareOf(workspace, now).mPrefetched.add(grant.tokens() - 1, now);
            callback.accept(Optional.empty());
            return;
        }
        long theirs = grant.retryAfterMillis();
        callback.accept(Optional.of(theirs == 0 ? ownMillis : Math.min(ownMillis, theirs)));
    }

    private Share shareOf(String workspace, long nowNanos) {
        return mByWorkspace.computeIfAbsent(workspace, key -> new Share(nowNanos));
    }

    /** Returns the bucket of a keeper with its present part of the limit. */
    private ResizableTokenBucket resizedOwnerBucket(Share share, WorkspaceLimit limit) {
        int keepers = mOwners.ownerCount();
        WorkspaceLimit part = LimitOwners.ownerLimit(limit, keepers);
        share.mBucket.resize(
                part.ratePerSecond(),
                part.burst() + mTolerance.extraTokens(limit, keepers),
                mSteadyClock.getAsLong());
        return share.mBucket;
    }

    /** Describes what decides about a workspace here, for logs. */
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
     * @param wanted how many it can use; more than one are granted only while many are left
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
        double part =
                mShares.share(
                        workspace,
                        view.otherInstances(),
                        share.mReportedDemand,
                        limit.ratePerSecond(),
                        now);
        share.mFraction = part;
        int instances = view.otherInstances().size() + 1;
        share.mBucket.resize(
                limit.ratePerSecond() * part,
                limit.burst() * part + mTolerance.extraTokens(limit, instances),
                now);
    }

    /** Records the demand that another instance reported. */
    void onDemandReport(String instance, Map<String, Double> demandPerSecond) {
        mShares.report(instance, demandPerSecond, mSteadyClock.getAsLong());
    }

    /** Reports the demand here when it is due, and lets the shares follow what was reported. */
    void reportDemand() {
        long now = mSteadyClock.getAsLong();
        mReportCheckNanos = now;
        Map<String, Double> demand = new HashMap<>();
        Map<String, WorkspaceLimit> limits = mView.get().configuration().limits();
        LimitOwners keepers = owners();
        if (limits.values().stream().allMatch(keepers::isEnforcedByOwners)) {
            // Nobody divides a limit by what others report.
            return;
        }
        mByWorkspace.forEach(
                (workspace, share) -> {
                    WorkspaceLimit limit = limits.get(workspace);
                    if (limit != null && !keepers.isEnforcedByOwners(limit)) {
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
        mReportSink.accept(demand);
    }

    /** Forgets workspaces that the configuration no longer has. */
    void discardRemovedWorkspaces() {
        mByWorkspace.keySet().retainAll(mView.get().configuration().limits().keySet());
    }
}
