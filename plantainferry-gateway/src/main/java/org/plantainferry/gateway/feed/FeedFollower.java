package org.plantainferry.gateway.feed;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.engine.freshness.WatchCoverage;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.Feed;
import org.plantainferry.gateway.spi.FeedPage;
import org.plantainferry.network.http.Futures;

/**
 * Reads the store objects of one kind, and watches them for changes while it is told to.
 *
 * <p>After a failed watch it reads all objects again, because an interrupted watch may have missed
 * changes. It does the same when the store was restored from a copy, because a watch that began
 * before lacks the changes up to its revision. Used by the control thread only.
 */
final class FeedFollower<T> {
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 1_600;
    private static final long BURST_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long MIN_REREAD_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final EventLoop mLoop;
    private final String mFeedName;
    private final Feed<T> mFeed;
    private final long mWatchMillis;
    private final long mBatchMillis;
    private final LongSupplier mClock;
    private final StoreEpochTracker mEpochs;
    private final FeedListener<T> mListener;
    private long mRetryDelayMillis = MIN_RETRY_MILLIS;
    private long mStoreLostSinceNanos;
    private final Random mRandom = new Random();
    private boolean mStoreLost;
    private boolean mConcurrentReadRunning;
    private boolean mWatching;
    // Increases with each full read; answers that belong to an earlier generation are ignored.
    private long mReadGeneration;
    // The epoch of the objects from which the watch goes on.
    private StoreEpoch mWatchedEpoch = StoreEpoch.UNKNOWN;
    private long mLastRereadNanos;

    /**
     * Creates a follower; {@link #read} begins to read.
     *
     * @param watchMillis the longest duration of one watch
     * @param batchMillis the delay before the next watch after changes that followed closely on the
     *     previous ones; each watch is a call to the store, and changes often come in bursts
     */
    FeedFollower(
            EventLoop loop,
            String feedName,
            Feed<T> feed,
            long watchMillis,
            long batchMillis,
            LongSupplier clock,
            StoreEpochTracker epochs,
            FeedListener<T> listener) {
        mLoop = loop;
        mFeedName = feedName;
        mFeed = feed;
        mWatchMillis = watchMillis;
        mBatchMillis = batchMillis;
        mClock = clock;
        mEpochs = epochs;
        mListener = listener;
        mLastRereadNanos = clock.getAsLong() - MIN_REREAD_INTERVAL_NANOS;
    }

    /** Reads all objects, and repeats the read until the store answers. */
    void read() {
        readAll();
    }

    /**
     * Watches for all changes after a revision; does nothing while it watches already.
     *
     * @param revision the revision up to which all changes are known; all objects are read first if
     *     it is none, or of an epoch that has ended
     */
    void watchFrom(StoreRevision revision) {
        if (mWatching) {
            return;
        }
        mWatching = true;
        boolean isOfEndedEpoch = mEpochs.newest().differsFrom(revision.epoch());
        if (revision.number() == 0 || isOfEndedEpoch) {
            readAll();
            return;
        }
        mReadGeneration++;
        mWatchedEpoch = revision.epoch();
        watch(revision.number());
    }

    /** Reads all objects again if it watches for changes of an epoch that has ended. */
    void onRestored(StoreEpoch epoch) {
        if (mWatching && !mWatchedEpoch.equals(epoch)) {
            readAll();
        }
    }

    /** Stops watching and repeating reads. */
    void stop() {
        mWatching = false;
        mReadGeneration++;
    }

    boolean isWatching() {
        return mWatching;
    }

    /**
     * Reads all objects again, because another instance has newer ones, and restarts a watch.
     *
     * <p>Does nothing if the last such call was less than a second ago.
     */
    void reread() {
        long now = mClock.getAsLong();
        if (now - mLastRereadNanos >= MIN_REREAD_INTERVAL_NANOS) {
            mLastRereadNanos = now;
            readAll();
        }
    }

    /**
     * Reads all objects without interrupting a watch; does nothing while such a read runs.
     *
     * @param successListener runs after the listener received the objects
     */
    void readConcurrently(Runnable successListener) {
        if (mConcurrentReadRunning) {
            return;
        }
        mConcurrentReadRunning = true;
        long sentNanos = mClock.getAsLong();
        mFeed.readAll()
                .whenComplete(
                        (page, failure) ->
                                mLoop.execute(
                                        () ->
                                                onConcurrentRead(
                                                        page,
                                                        failure,
                                                        sentNanos,
                                                        successListener)));
    }

    private void onConcurrentRead(
            FeedPage<T> page, Throwable failure, long sentNanos, Runnable successListener) {
        mConcurrentReadRunning = false;
        Optional<Throwable> cause = failureOf(page, failure);
        if (cause.isPresent()) {
            recordStoreLoss(cause.get(), sentNanos);
            return;
        }
        onSuccess(mStoreLost ? mClock.getAsLong() - mStoreLostSinceNanos : 0);
        mListener.onSnapshot(page, OptionalLong.of(sentNanos), 0);
        successListener.run();
    }

    private void readAll() {
        mReadGeneration++;
        long generation = mReadGeneration;
        long sentNanos = mClock.getAsLong();
        mFeed.readAll()
                .whenComplete(
                        (page, failure) ->
                                mLoop.execute(
                                        () ->
                                                onReadCompleted(
                                                        page, failure, sentNanos, generation)));
    }

    private void onReadCompleted(
            FeedPage<T> page, Throwable failure, long sentNanos, long generation) {
        if (generation != mReadGeneration) {
            return;
        }
        if (failure == null) {
            mWatchedEpoch = page.revision().epoch();
        }
        Optional<Throwable> cause = failureOf(page, failure);
        if (cause.isPresent()) {
            onReadFailure(cause.get(), sentNanos);
            return;
        }
        long outageNanos = mStoreLost ? mClock.getAsLong() - mStoreLostSinceNanos : 0;
        onSuccess(outageNanos);
        mListener.onSnapshot(page, OptionalLong.of(sentNanos), outageNanos);
        if (mWatching && generation == mReadGeneration) {
            watch(page.revision().number());
        }
    }

    /**
     * Returns why a page cannot be used; empty if it can.
     *
     * <p>A page without an epoch is used as before a restoration: its revision decides.
     */
    private Optional<Throwable> failureOf(FeedPage<T> page, Throwable failure) {
        if (failure != null) {
            return Optional.of(failure);
        }
        StoreEpochTracker.Verdict verdict = mEpochs.observe(page.revision().epoch());
        return verdict == StoreEpochTracker.Verdict.OUTDATED
                ? Optional.of(
                        new PlantainferryException(
                                ErrorCode.STORE_UNAVAILABLE,
                                "the answer is of an epoch that has ended"))
                : Optional.empty();
    }

    private void watch(long revision) {
        long generation = mReadGeneration;
        // Random watch durations keep instances that started together from calling in step.
        long watchMillis = mWatchMillis - mRandom.nextInt((int) (mWatchMillis / 3));
        long sentNanos = mClock.getAsLong();
        mFeed.changesAfter(revision, watchMillis)
                .whenComplete(
                        (page, failure) ->
                                mLoop.execute(
                                        () ->
                                                onWatchCompleted(
                                                        page,
                                                        failure,
                                                        sentNanos,
                                                        watchMillis,
                                                        generation)));
    }

    private void onWatchCompleted(
            FeedPage<T> page,
            Throwable failure,
            long sentNanos,
            long watchMillis,
            long generation) {
        if (generation != mReadGeneration) {
            return;
        }
        if (failure != null) {
            onWatchFailure(failure, sentNanos);
            return;
        }
        StoreEpoch epoch = page.revision().epoch();
        mEpochs.observe(epoch);
        if (epoch.differsFrom(mWatchedEpoch)) {
            if (generation == mReadGeneration) {
                readAll();
            }
            return;
        }
        long coveredNanos =
                WatchCoverage.coveredNanos(
                        sentNanos,
                        mClock.getAsLong(),
                        TimeUnit.MILLISECONDS.toNanos(watchMillis),
                        page.entries().isEmpty());
        mListener.onChanges(page, OptionalLong.of(coveredNanos));
        if (generation != mReadGeneration) {
            // The listener has stopped the watch.
            return;
        }
        boolean isBurst = mClock.getAsLong() - sentNanos < BURST_NANOS;
        if (!isBurst || mBatchMillis == 0) {
            watch(page.revision().number());
            return;
        }
        mLoop.schedule(
                () -> {
                    if (generation == mReadGeneration) {
                        watch(page.revision().number());
                    }
                },
                mBatchMillis,
                TimeUnit.MILLISECONDS);
    }

    private void onWatchFailure(Throwable failure, long sentNanos) {
        boolean isHistoryGone =
                Futures.unwrap(failure) instanceof PlantainferryException known
                        && known.code() == ErrorCode.VERSION_CONFLICT;
        if (!isHistoryGone) {
            recordStoreLoss(failure, sentNanos);
        }
        // The first read is sent without delay: an interrupted watch does not imply a store
        // outage.
        readAll();
    }

    private void recordStoreLoss(Throwable failure, long sinceNanos) {
        if (mStoreLost) {
            return;
        }
        mStoreLost = true;
        mStoreLostSinceNanos = sinceNanos;
        GatewayEvent.STORE_LOST.log(mFeedName, Futures.unwrap(failure).getMessage());
    }

    private void onReadFailure(Throwable failure, long sentNanos) {
        recordStoreLoss(failure, sentNanos);
        long generation = mReadGeneration;
        mLoop.schedule(
                () -> {
                    if (generation == mReadGeneration) {
                        readAll();
                    }
                },
                mRetryDelayMillis,
                TimeUnit.MILLISECONDS);
        mRetryDelayMillis = Math.min(MAX_RETRY_MILLIS, mRetryDelayMillis * 2);
    }

    private void onSuccess(long outageNanos) {
        mRetryDelayMillis = MIN_RETRY_MILLIS;
        if (mStoreLost) {
            mStoreLost = false;
            GatewayEvent.STORE_BACK.log(mFeedName, TimeUnit.NANOSECONDS.toMillis(outageNanos));
        }
    }
}
