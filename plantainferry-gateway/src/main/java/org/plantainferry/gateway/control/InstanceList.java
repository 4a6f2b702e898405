package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.membership.RegistrySettlement;
import org.plantainferry.gateway.feed.FeedListener;
import org.plantainferry.gateway.feed.StoreFollowing;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.InstanceRegistry;

/**
 * Maintains the list of instances, and the entry of this instance in the store.
 *
 * <p>A restored store has lost entries. This instance then writes its own again, and counts no
 * majority from a list that it first read in an epoch that is not settled. Used by the control
 * thread only.
 */
final class InstanceList implements FeedListener<InstanceEntry> {
    private static final long REGISTER_RETRY_MILLIS = 1_000;
    private static final long REGISTRATION_SETTLING_MILLIS = 500;
    // Without an answer to the second list, the instance becomes ready after this time.
    private static final long SETTLING_TIMEOUT_MILLIS = 2_000;
    // Limits are divided among the listed instances. Without the list, a new process would use the
    // full limits, so it waits this long for the list before it becomes ready.
    private static final long LIST_TIMEOUT_MILLIS = 800;
    // All instances write their entries again within this time after they noticed a restoration.
    private static final long RESTORATION_MILLIS = 3_000;
    // Spreads the writes of many instances below the rate that the store accepts.
    private static final long DELAY_PER_INSTANCE_MILLIS = 4;
    private static final long MAX_DELAY_MILLIS = 2_000;
    private static final int RECORD_DELAY_MILLIS = 500;
    // Longer than the instances that follow the store need to record an epoch.
    private static final long FOLLOWER_RECORD_DELAY_MILLIS = 2_000;

    private final EventLoop mLoop;
    private final InstanceEntry mOwnEntry;
    private final InstanceRegistry mRegistry;
    private final StoreFollowing mFollowing;
    private final LongSupplier mClock;
    private final Random mRandom;
    private final Listener mListener;
    private final RegistrySettlement mSettlement;
    private final InstanceRestoration mRestoration;
    private final Map<String, InstanceEntry> mInstances = new HashMap<>();
    private StoreEpoch mEpoch = StoreEpoch.UNKNOWN;
    private boolean mListRead;
    private boolean mListTimedOut;
    private boolean mRegistering;
    private boolean mRegistered;
    private boolean mSettled;
    private boolean mOwnEntryLost;
    private boolean mComplete;
    private boolean mSettlementScheduled;

    /** Listens for changes of the list, on the control thread. */
    interface Listener {
        /** Called with the other instances when the list was read, has changed or is complete. */
        void onOtherInstances(Map<String, InstanceEntry> otherInstances);

        /** Called when the instance may have become ready without a change of the list. */
        void onReadinessChanged();
    }

    /**
     * Creates a list that is empty; {@link #start} begins to wait for it.
     *
     * @param noticeMillis the longest time after which a running instance notices that the store
     *     was restored
     */
    InstanceList(
            EventLoop loop,
            InstanceEntry ownEntry,
            InstanceRegistry registry,
            StoreFollowing following,
            LongSupplier clock,
            long noticeMillis,
            Random random,
            Listener listener) {
        mLoop = loop;
        mOwnEntry = ownEntry;
        mRegistry = registry;
        mFollowing = following;
        mClock = clock;
        mRandom = random;
        mListener = listener;
        mSettlement =
                new RegistrySettlement(
                        TimeUnit.MILLISECONDS.toNanos(noticeMillis + RESTORATION_MILLIS));
        mRestoration =
                new InstanceRestoration(
                        loop,
                        ownEntry,
                        registry,
                        following::lostInstances,
                        following::isFollowingStore,
                        following::readInstances,
                        clock);
    }

    /** Starts to wait for the list. */
    void start() {
        mLoop.schedule(this::onListTimeout, LIST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onListTimeout() {
        mListTimedOut = true;
        if (!mListRead) {
            mListener.onReadinessChanged();
        }
    }

    /**
     * Returns whether the limits can be divided among the right instances.
     *
     * <p>Instances that start together for the first time each see only themselves at first, and
     * would each give out the whole limit.
     */
    boolean isReadOrTimedOut() {
        return mRegistered ? mSettled : mListRead || mListTimedOut;
    }

    /** Returns whether majorities may be counted from the list. */
    boolean isComplete() {
        return mComplete;
    }

    /**
     * Returns whether all running instances are listed in the newest epoch of the store, and what
     * was granted before it began has ended.
     */
    boolean isSettled() {
        mSettlement.onEpoch(mFollowing.epochs().newest(), mClock.getAsLong());
        return mSettlement.isSettled(mClock.getAsLong());
    }

    @Override
    public void onSnapshot(
            FeedPage<InstanceEntry> page, OptionalLong coveredNanos, long outageNanos) {
        noticeEpoch(page);
        mInstances.clear();
        boolean isFromStore = coveredNanos.isPresent();
        if (mRegistered && !isFromStore) {
            // Another instance may not have seen the entry yet.
            mInstances.put(mOwnEntry.name(), mOwnEntry);
        }
        apply(page);
    }

    @Override
    public void onChanges(FeedPage<InstanceEntry> page, OptionalLong coveredNanos) {
        if (!page.entries().isEmpty()) {
            apply(page);
        }
    }

    private void noticeEpoch(FeedPage<InstanceEntry> page) {
        StoreEpoch epoch = page.revision().epoch();
        mSettlement.onEpoch(epoch, mClock.getAsLong());
        if (epoch.differsFrom(mEpoch)) {
            boolean isListed =
                    page.entries().stream()
                            .anyMatch(entry -> entry.name().equals(mOwnEntry.name()));
            mOwnEntryLost = !isListed || isOwnEntryKept();
            mRestoration.start(epoch);
        }
        mEpoch = epoch;
    }

    private boolean isOwnEntryKept() {
        return mFollowing.lostInstances().stream()
                .anyMatch(entry -> entry.name().equals(mOwnEntry.name()));
    }

    private void apply(FeedPage<InstanceEntry> page) {
        for (FeedEntry<InstanceEntry> entry : page.entries()) {
            entry.value()
                    .ifPresentOrElse(
                            value -> mInstances.put(entry.name(), value),
                            () -> mInstances.remove(entry.name()));
            entry.value().ifPresent(value -> mSettlement.onRecorded(value.settledEpoch()));
        }
        if (!mRegistering) {
            registerOrPublish();
        }
        scheduleSettlement();
    }

    /** Registers this instance, unless its entry, also of an earlier process, is present. */
    private void registerOrPublish() {
        InstanceEntry listed = mInstances.get(mOwnEntry.name());
        boolean isListed = listed != null && listed.isSameInstance(mOwnEntry);
        if (isListed && !mOwnEntryLost) {
            mRegistering = false;
            publish();
            return;
        }
        mRegistering = true;
        if (!isListed) {
            register();
            return;
        }
        publish();
        long spreadMillis =
                Math.min(MAX_DELAY_MILLIS, DELAY_PER_INSTANCE_MILLIS * mInstances.size());
        mLoop.schedule(this::register, mRandom.nextInt((int) spreadMillis), TimeUnit.MILLISECONDS);
    }

    private InstanceEntry entryToWrite() {
        InstanceEntry listed = mInstances.get(mOwnEntry.name());
        return listed == null ? mOwnEntry : mOwnEntry.withSettledEpoch(listed.settledEpoch());
    }

    private void register() {
        StoreEpoch epoch = mEpoch;
        InstanceEntry entry = entryToWrite();
        mRegistry
                .register(entry)
                .whenComplete(
                        (ignored, failure) ->
                                mLoop.execute(() -> onRegistered(entry, epoch, failure)));
    }

    private void onRegistered(InstanceEntry entry, StoreEpoch epoch, Throwable failure) {
        if (failure != null || epoch.differsFrom(mEpoch)) {
            mLoop.schedule(this::registerOrPublish, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        boolean isFirstRegistration = !mRegistered;
        mRegistered = true;
        // An instance that used the entry of an earlier process so far knows the others already.
        mSettled = mSettled || mListRead;
        if (isFirstRegistration && !mSettled) {
            // Instances that start together have not seen each other's entries.
            mLoop.schedule(
                    () -> mFollowing.readInstances(this::onSettled),
                    REGISTRATION_SETTLING_MILLIS,
                    TimeUnit.MILLISECONDS);
            mLoop.schedule(this::onSettled, SETTLING_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        mOwnEntryLost = false;
        mInstances.put(entry.name(), entry);
        registerOrPublish();
    }

    /** Becomes ready, because the instances that started together are known to each other. */
    private void onSettled() {
        if (!mSettled) {
            mSettled = true;
            mListener.onReadinessChanged();
        }
    }

    /** Publishes the list once it contains this instance. */
    private void publish() {
        if (!mInstances.containsKey(mOwnEntry.name())) {
            return;
        }
        mListRead = true;
        mComplete = mComplete || isSettled();
        GatewayEvent.INSTANCES_CHANGED.log(mInstances.size() - 1);
        Map<String, InstanceEntry> otherInstances = new HashMap<>(mInstances);
        otherInstances.remove(mOwnEntry.name());
        mListener.onOtherInstances(otherInstances);
    }

    private void scheduleSettlement() {
        boolean isOpen = !isSettled() || mSettlement.needsRecord(mClock.getAsLong());
        if (!isOpen || mSettlementScheduled) {
            return;
        }
        mSettlementScheduled = true;
        long remainingNanos = mSettlement.remainingNanos(mClock.getAsLong());
        mLoop.schedule(this::onSettlementDue, remainingNanos, TimeUnit.NANOSECONDS);
    }

    private void onSettlementDue() {
        mSettlementScheduled = false;
        if (!isSettled()) {
            scheduleSettlement();
            return;
        }
        if (!mComplete) {
            publish();
            mListener.onReadinessChanged();
        }
        if (mSettlement.needsRecord(mClock.getAsLong())) {
            long delayMillis =
                    mFollowing.isFollowingStore()
                            ? mRandom.nextInt(RECORD_DELAY_MILLIS)
                            : FOLLOWER_RECORD_DELAY_MILLIS
                                    + mRandom.nextInt((int) MAX_DELAY_MILLIS);
            mLoop.schedule(this::recordSettlement, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Records that the list is complete, so that instances that start later need not wait. */
    private void recordSettlement() {
        if (!mSettlement.needsRecord(mClock.getAsLong())) {
            return;
        }
        StoreEpoch epoch = mSettlement.epoch();
        InstanceEntry entry = mOwnEntry.withSettledEpoch(epoch);
        mRegistry
                .register(entry)
                .whenComplete(
                        (ignored, failure) -> mLoop.execute(() -> onRecorded(entry, failure)));
    }

    private void onRecorded(InstanceEntry entry, Throwable failure) {
        if (failure != null) {
            mLoop.schedule(this::recordSettlement, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        mSettlement.onRecorded(entry.settledEpoch());
        mInstances.put(entry.name(), entry);
        GatewayEvent.INSTANCES_SETTLED.log(entry.settledEpoch().number(), mInstances.size() - 1);
    }
}
