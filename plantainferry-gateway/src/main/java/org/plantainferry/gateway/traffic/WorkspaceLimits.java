package org.plantainferry.gateway.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.plantainferry.engine.quota.DemandRate;
import org.plantainferry.engine.quota.DemandShares;
import org.plantainferry.engine.quota.LimitTerms;
import org.plantainferry.engine.quota.ReportPolicy;
import org.plantainferry.engine.quota.ShareBucket;

/**
 * Holds the share of this instance in the limit of each workspace.
 *
 * <p>Used by the traffic thread only.
 */
final class WorkspaceLimits {
    private static final long LONGEST_RETRY_MILLIS = 1_000;
    private static final long ASK_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long REPORT_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long RESIZE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Holds what is known of one workspace. */
    private static final class Share {
        private final DemandRate mDemand;
        private final ShareBucket mBucket;
        private double mReportedDemand;
        private double mPart;
        private long mResizedNanos;
        private boolean mResized;
        private long mAskAgainNanos;

        Share(long nowNanos) {
            mDemand = new DemandRate(nowNanos);
            mBucket = new ShareBucket(nowNanos);
            mAskAgainNanos = nowNanos;
        }

        /** When nobody has a token, further questions would only repeat the answer. */
        void noteAsked(boolean granted, long nowNanos) {
            mAskAgainNanos = granted ? nowNanos : nowNanos + ASK_PAUSE_NANOS;
        }
    }

    private final Supplier<FleetView> mView;
    private final LimitTerms mTerms;
    private final LongSupplier mSteadyClock;
    private final TokenLender mLender;
    private final Consumer<Map<String, Double>> mReports;
    private final ReportPolicy mReportPolicy;
    private long mReportCheckNanos;
    private final DemandShares mShares = new DemandShares();
    private final Map<String, Share> mByWorkspace = new HashMap<>();

    WorkspaceLimits(
            Supplier<FleetView> view,
            LimitTerms terms,
            LongSupplier steadyClock,
            TokenLender lender,
            Consumer<Map<String, Double>> reports) {
        mView = view;
        mTerms = terms;
        mSteadyClock = steadyClock;
        mLender = lender;
        mReports = reports;
        mReportCheckNanos = steadyClock.getAsLong();
        mReportPolicy = new ReportPolicy(mReportCheckNanos);
    }

    /**
     * Counts an operation.
     *
     * @param callback receives nothing when the operation may go on, or the milliseconds after
     *     which to come back; it runs once, now or after other instances were asked for a token
     */
    void take(String workspace, Consumer<Optional<Long>> callback) {
        Optional<Long> retryAfterMillis = takeHere(workspace, true);
        if (retryAfterMillis.isEmpty() || !mayAsk(workspace)) {
            callback.accept(retryAfterMillis);
            return;
        }
        mLender.borrow(
                workspace,
                granted -> {
                    mByWorkspace.get(workspace).noteAsked(granted, mSteadyClock.getAsLong());
                    callback.accept(granted ? Optional.empty() : retryAfterMillis);
                });
    }

    /** Describes what decides about a workspace here, for logs. */
    String describe(String workspace) {
        Share share = mByWorkspace.get(workspace);
        WorkspaceLimit limit = mView.get().configuration().limits().get(workspace);
        if (share == null || limit == null) {
            return "no limit";
        }
        long now = mSteadyClock.getAsLong();
        return String.format(
                "rate=%.1f part=%.4f demand=%.2f reported=%.2f others=%s",
                limit.ratePerSecond(),
                share.mPart,
                share.mDemand.perSecond(now),
                share.mReportedDemand,
                mShares.describe(workspace, mView.get().otherInstances(), now));
    }

    /** Takes a token for an operation of another instance; returns whether there was one. */
    boolean lend(String workspace) {
        return mView.get().configuration().limits().containsKey(workspace)
                && takeHere(workspace, false).isEmpty();
    }

    private boolean mayAsk(String workspace) {
        Share share = mByWorkspace.get(workspace);
        return share != null && mSteadyClock.getAsLong() - share.mAskAgainNanos >= 0;
    }

    private Optional<Long> takeHere(String workspace, boolean isOwnDemand) {
        WorkspaceLimit limit = mView.get().configuration().limits().get(workspace);
        if (limit == null) {
            return Optional.empty();
        }
        long now = mSteadyClock.getAsLong();
        Share share = mByWorkspace.computeIfAbsent(workspace, key -> new Share(now));
        if (isOwnDemand) {
            share.mDemand.count(now);
            if (now - mReportCheckNanos >= REPORT_CHECK_NANOS) {
                reportDemand();
            }
        }
        resize(workspace, share, limit, now);
        if (share.mBucket.tryTake(now)) {
            return Optional.empty();
        }
        return Optional.of(share.mBucket.millisUntilToken(now, LONGEST_RETRY_MILLIS));
    }

    private void resize(String workspace, Share share, WorkspaceLimit limit, long now) {
        if (share.mResized && now - share.mResizedNanos < RESIZE_NANOS) {
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
        share.mPart = part;
        int instances = view.otherInstances().size() + 1;
        share.mBucket.resize(
                limit.ratePerSecond() * part,
                limit.burst() * part + mTerms.extraTokens(limit, instances),
                now);
    }

    /** Records the demand that another instance reported. */
    void onReport(String instance, Map<String, Double> demandPerSecond) {
        mShares.report(instance, demandPerSecond, mSteadyClock.getAsLong());
    }

    /** Reports the demand here when it is due, and lets the shares follow what was reported. */
    void reportDemand() {
        long now = mSteadyClock.getAsLong();
        mReportCheckNanos = now;
        Map<String, Double> demand = new HashMap<>();
        mByWorkspace.forEach(
                (workspace, share) -> demand.put(workspace, share.mDemand.perSecond(now)));
        if (!mReportPolicy.takeDue(demand, now)) {
            return;
        }
        mByWorkspace.forEach(
                (workspace, share) -> {
                    share.mReportedDemand = demand.getOrDefault(workspace, 0.0);
                    share.mResized = false;
                });
        mReports.accept(demand);
    }

    /** Forgets workspaces that the configuration no longer has. */
    void forgetRemoved() {
        mByWorkspace.keySet().retainAll(mView.get().configuration().limits().keySet());
    }
}
