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
    private static final String ALL_OBJECTS = "";
    private static final long WATCH_TIMEOUT_MILLIS = 30_000;
    private static final long INSTANCE_LIST_INTERVAL_MILLIS = 3_000;
    private static final long CHECK_INTERVAL_MILLIS = 200;
    private static final long MIN_RETRY_DELAY_MILLIS = 200;
    private static final long MAX_RETRY_DELAY_MILLIS = 2_000;
    private static final String LEAVING_STATE = "leaving";

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final Listener mListener;
    private long mRevision;
    private boolean mListingCurrent;
    private boolean mStoreReachable = true;
    private boolean mCheckInProgress;
    private long mRetryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    private long mStoredConfigurationVersion;

    /** Receives what the store holds; called on the control thread. */
    interface Listener {
        /** Takes in an object that was read or has changed. */
        void onObject(StoreObject object, long sentNanos);

        /** Takes in that the store answered. */
        void onStoreAnswered();

        /** Takes in a new platform list. */
        void onInstanceList();
    }

    StoreController(ControlContext context, FleetState fleet, Listener listener) {
        mContext = context;
        mFleet = fleet;
        mListener = listener;
    }

    void start() {
        listAll();
        listInstances();
        mContext.loop().runEvery("store check", CHECK_INTERVAL_MILLIS, this::checkIfWanted);
    }

    private void listAll() {
        long sent = mContext.now();
        mContext.store()
                .list(ALL_OBJECTS)
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
                .watch(ALL_OBJECTS, mRevision, WATCH_TIMEOUT_MILLIS)
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
            onStoreFailure(failure, sentNanos);
            mListingCurrent = false;
            mContext.loop().runLater("list", nextRetryDelayMillis(), this::listAll);
            return;
        }
        mRetryDelayMillis = MIN_RETRY_DELAY_MILLIS;
        mRevision = listing.revision();
        mListingCurrent = true;
        onStoreAnswered();
        listing.objects().forEach(object -> mListener.onObject(object, sentNanos));
        mStoredConfigurationVersion =
                Math.max(mStoredConfigurationVersion, mFleet.configuration().version());
        boolean isEmptyWatch = !isWhole && listing.objects().isEmpty();
        long confirmed =
                isEmptyWatch
                        ? sentNanos + TimeUnit.MILLISECONDS.toNanos(WATCH_TIMEOUT_MILLIS)
                        : sentNanos;
        long now = mContext.now();
        mFleet.freshness()
                .onStoreAnswer(
                        mStoredConfigurationVersion, confirmed - now < 0 ? confirmed : now, now);
        watch();
    }

    private long nextRetryDelayMillis() {
        long delay = mRetryDelayMillis / 2 + mContext.random().nextLong(mRetryDelayMillis / 2 + 1);
        mRetryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, mRetryDelayMillis * 2);
        return delay;
    }

    private void onStoreFailure(Throwable failure, long sentNanos) {
        mFleet.freshness().onStoreFailure(sentNanos, mContext.now());
        if (mStoreReachable) {
            mStoreReachable = false;
            LogEvent.STORE_LOST.log(failure.getMessage());
        }
    }

    private void onStoreAnswered() {
        mListener.onStoreAnswered();
        if (!mStoreReachable) {
            mStoreReachable = true;
            LogEvent.STORE_BACK.log();
        }
    }

    /** Confirms the version with a watch that does not wait, which costs the store little. */
    private void checkIfWanted() {
        if (mCheckInProgress
                || !mListingCurrent
                || !mFleet.freshness().isStoreCheckDue(mContext.now())) {
            return;
        }
        mCheckInProgress = true;
        long sent = mContext.now();
        mContext.store()
                .watch(CONFIGURATION_PATH, mRevision, 0)
                .whenComplete(
                        (listing, failure) ->
                                mContext.loop()
                                        .run("check", () -> onCheck(listing, failure, sent)));
    }

    private void onCheck(StoreListing listing, Throwable failure, long sentNanos) {
        mCheckInProgress = false;
        if (failure != null) {
            onStoreFailure(failure, sentNanos);
            return;
        }
        onStoreAnswered();
        listing.objects().forEach(object -> mListener.onObject(object, sentNanos));
        mStoredConfigurationVersion =
                Math.max(mStoredConfigurationVersion, mFleet.configuration().version());
        mFleet.freshness().onStoreAnswer(mStoredConfigurationVersion, sentNanos, mContext.now());
    }

    /** Notes the version that an object in the store claims, even when it cannot be read. */
    void recordStoredVersion(Optional<Long> version) {
        version.ifPresent(
                each -> mStoredConfigurationVersion = Math.max(mStoredConfigurationVersion, each));
    }

    private void listInstances() {
        mContext.store()
                .instances()
                .whenComplete(
                        (records, failure) ->
                                mContext.loop()
                                        .run("instances", () -> onInstanceList(records, failure)));
    }

    private void onInstanceList(List<InstanceRecord> records, Throwable failure) {
        if (failure == null) {
            onStoreAnswered();
            mFleet.onInstanceList(
                    records.stream().map(StoreController::member).toList(), mContext.now());
            mListener.onInstanceList();
        }
        // Jitter keeps instances that started together from asking together.
        long delay =
                INSTANCE_LIST_INTERVAL_MILLIS / 2
                        + mContext.random().nextLong(INSTANCE_LIST_INTERVAL_MILLIS);
        mContext.loop().runLater("instances", delay, this::listInstances);
    }

    private static Member member(InstanceRecord record) {
        return new Member(
                record.id(),
                record.failureDomain(),
                record.peerAddress(),
                record.callerAddress(),
                record.operatorAddress(),
                record.state().equals(LEAVING_STATE));
    }
}
