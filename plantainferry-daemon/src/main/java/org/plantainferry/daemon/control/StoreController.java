package org.plantainferry.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.daemon.log.LogEvent;
import org.plantainferry.engine.membership.Member;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.network.store.StoreListing;
import org.plantainferry.network.store.StoreObject;

/**
 * Follows the store: one waiting watch on all objects, and the platform's list of instances.
 *
 * <p>After a failure it lists all objects again, because changes may have been missed.
 */
final class StoreController {
    static final String CONFIGURATION_PATH = "configuration/current";
    private static final String ALL = "";
    private static final long WATCH_MILLIS = 30_000;
    private static final long LIST_MILLIS = 3_000;
    private static final long CHECK_MILLIS = 200;
    private static final long FIRST_RETRY_MILLIS = 200;
    private static final long LAST_RETRY_MILLIS = 2_000;
    private static final String LEAVING = "leaving";

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final Listener mListener;
    private long mRevision;
    private boolean mListed;
    private boolean mReachable = true;
    private boolean mChecking;
    private long mRetryMillis = FIRST_RETRY_MILLIS;
    private long mStoreVersion;

    /** Receives what the store holds; called on the control thread. */
    interface Listener {
        /** Takes in an object that was read or has changed. */
        void onObject(StoreObject object, long sentNanos);

        /** Takes in that the store answered. */
        void onStoreReached();

        /** Takes in a new platform list. */
        void onInstances();
    }

    StoreController(ControlContext context, FleetState fleet, Listener listener) {
        mContext = context;
        mFleet = fleet;
        mListener = listener;
    }

    void start() {
        listAll();
        readInstances();
        mContext.loop().runEvery("store check", CHECK_MILLIS, this::checkWhenWanted);
    }

    private void listAll() {
        long sent = mContext.now();
        mContext.store()
                .list(ALL)
                .whenComplete(
                        (listing, failure) ->
                                mContext.loop()
                                        .run(
                                                "list",
                                                () -> onListing(listing, failure, sent, true)));
    }

    private void watch() {
        long sent = mContext.now();
        mContext.store()
                .watch(ALL, mRevision, WATCH_MILLIS)
                .whenComplete(
                        (listing, failure) ->
                                mContext.loop()
                                        .run(
                                                "watch",
                                                () -> onListing(listing, failure, sent, false)));
    }

    private void onListing(
            StoreListing listing, Throwable failure, long sentNanos, boolean isWhole) {
        if (failure != null) {
            onFailure(failure, sentNanos);
            mListed = false;
            mContext.loop().runLater("list", nextRetryMillis(), this::listAll);
            return;
        }
        mRetryMillis = FIRST_RETRY_MILLIS;
        mRevision = listing.revision();
        mListed = true;
        onReached();
        listing.objects().forEach(object -> mListener.onObject(object, sentNanos));
        mStoreVersion = Math.max(mStoreVersion, mFleet.configuration().version());
        boolean isEmptyWatch = !isWhole && listing.objects().isEmpty();
        long confirmed =
                isEmptyWatch ? sentNanos + TimeUnit.MILLISECONDS.toNanos(WATCH_MILLIS) : sentNanos;
        long now = mContext.now();
        mFleet.freshness().onStoreAnswer(mStoreVersion, confirmed - now < 0 ? confirmed : now, now);
        watch();
    }

    private long nextRetryMillis() {
        long delay = mRetryMillis / 2 + mContext.random().nextLong(mRetryMillis / 2 + 1);
        mRetryMillis = Math.min(LAST_RETRY_MILLIS, mRetryMillis * 2);
        return delay;
    }

    private void onFailure(Throwable failure, long sentNanos) {
        mFleet.freshness().onStoreFailure(sentNanos, mContext.now());
        if (mReachable) {
            mReachable = false;
            LogEvent.STORE_LOST.log(failure.getMessage());
        }
    }

    private void onReached() {
        mListener.onStoreReached();
        if (!mReachable) {
            mReachable = true;
            LogEvent.STORE_BACK.log();
        }
    }

    /** Confirms the version with a watch that does not wait, which costs the store little. */
    private void checkWhenWanted() {
        if (mChecking || !mListed || !mFleet.freshness().isStoreCheckDue(mContext.now())) {
            return;
        }
        mChecking = true;
        long sent = mContext.now();
        mContext.store()
                .watch(CONFIGURATION_PATH, mRevision, 0)
                .whenComplete(
                        (listing, failure) ->
                                mContext.loop()
                                        .run("check", () -> onCheck(listing, failure, sent)));
    }

    private void onCheck(StoreListing listing, Throwable failure, long sentNanos) {
        mChecking = false;
        if (failure != null) {
            onFailure(failure, sentNanos);
            return;
        }
        onReached();
        listing.objects().forEach(object -> mListener.onObject(object, sentNanos));
        mStoreVersion = Math.max(mStoreVersion, mFleet.configuration().version());
        mFleet.freshness().onStoreAnswer(mStoreVersion, sentNanos, mContext.now());
    }

    /** Notes the version that an object in the store claims, even when it cannot be read. */
    void onStoredVersion(Optional<Long> version) {
        version.ifPresent(each -> mStoreVersion = Math.max(mStoreVersion, each));
    }

    private void readInstances() {
        mContext.store()
                .instances()
                .whenComplete(
                        (records, failure) ->
                                mContext.loop()
                                        .run("instances", () -> onInstances(records, failure)));
    }

    private void onInstances(List<InstanceRecord> records, Throwable failure) {
        if (failure == null) {
            onReached();
            mFleet.onPlatformList(
                    records.stream().map(StoreController::member).toList(), mContext.now());
            mListener.onInstances();
        }
        // Jitter keeps instances that started together from asking together.
        long delay = LIST_MILLIS / 2 + mContext.random().nextLong(LIST_MILLIS);
        mContext.loop().runLater("instances", delay, this::readInstances);
    }

    private static Member member(InstanceRecord record) {
        return new Member(
                record.id(),
                record.failureDomain(),
                record.peerAddress(),
                record.callerAddress(),
                record.operatorAddress(),
                record.state().equals(LEAVING));
    }
}
