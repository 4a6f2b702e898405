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
 * Keeps control up to date with the store: watches all objects and polls the list of instances.
 *
 * <p>There is one long-polling watch at a time. After a failed watch all objects are listed again,
 * because changes may have been missed.
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

    /** Receives the contents of the store; called on the control thread. */
    interface Listener {
        /**
         * Handles an object that was listed or has changed.
         *
         * @param sentNanos when the request that returned the object was sent
         */
        void onObject(StoreObject object, long sentNanos);

        /** Handles any successful answer of the store. */
        void onStoreAnswered();

        /** Handles a new list of instances, which is already part of the fleet state. */
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
        long sentNanos = mContext.now();
        mContext.store()
                .list(ALL_OBJECTS)
                .whenComplete(
                        (listing, failure) ->
                                mContext.loop()
                                        .run(
                                                "list",
                                                () ->
                                                        onListing(
                                                                listing, failure, sentNanos,
                                                                true)));
    }

    private void watch() {
        long sentNanos = mContext.now();
        mContext.store()
                .watch(ALL_OBJECTS, mRevision, WATCH_TIMEOUT_MILLIS)
                .whenComplete(
                        (listing, failure) ->
                                mContext.loop()
                                        .run(
                                                "watch",
                                                () ->
                                                        onListing(
                                                                listing, failure, sentNanos,
                                                                false)));
    }

    private void onListing(
            StoreListing listing, Throwable failure, long sentNanos, boolean isFullListing) {
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
        boolean isEmptyWatch = !isFullListing && listing.objects().isEmpty();
        long confirmedNanos =
                isEmptyWatch
                        ? sentNanos + TimeUnit.MILLISECONDS.toNanos(WATCH_TIMEOUT_MILLIS)
                        : sentNanos;
        long now = mContext.now();
        mFleet.freshness()
                .onStoreAnswer(
                        mStoredConfigurationVersion,
                        confirmedNanos - now < 0 ? confirmedNanos : now,
                        now);
        watch();
    }

    private long nextRetryDelayMillis() {
        long delayMillis =
                mRetryDelayMillis / 2 + mContext.random().nextLong(mRetryDelayMillis / 2 + 1);
        mRetryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, mRetryDelayMillis * 2);
        return delayMillis;
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

    /**
     * Confirms the configuration version, if wanted, by a watch that returns at once.
     *
     * <p>Such a watch costs the store little.
     */
    private void checkIfWanted() {
        if (mCheckInProgress
                || !mListingCurrent
                || !mFleet.freshness().isStoreCheckDue(mContext.now())) {
            return;
        }
        mCheckInProgress = true;
        long sentNanos = mContext.now();
        mContext.store()
                .watch(CONFIGURATION_PATH, mRevision, 0)
                .whenComplete(
                        (listing, failure) ->
                                mContext.loop()
                                        .run("check", () -> onCheck(listing, failure, sentNanos)));
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

    /** Records the version that the stored configuration claims, even when it is malformed. */
    void recordStoredVersion(Optional<Long> version) {
        version.ifPresent(
                claimed ->
                        mStoredConfigurationVersion =
                                Math.max(mStoredConfigurationVersion, claimed));
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
        // Jitter keeps instances that started together from polling the store at the same time.
        long delayMillis =
                INSTANCE_LIST_INTERVAL_MILLIS / 2
                        + mContext.random().nextLong(INSTANCE_LIST_INTERVAL_MILLIS);
        mContext.loop().runLater("instances", delayMillis, this::listInstances);
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
