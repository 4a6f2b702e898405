package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.engine.freshness.WatchCoverage;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.Feed;
import org.plantainferry.gateway.spi.FeedPage;
import org.plantainferry.network.http.Futures;

/**
 * Keeps up with the objects of one kind: reads all of them, then watches for changes.
 *
 * <p>After a failure it reads everything again, because a watch that was cut off may have missed
 * changes. Used by the control thread only.
 */
final class FeedFollower<T> {
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 1_600;
    private static final long BURST_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long MIN_REREAD_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Receives what the store holds. */
    interface Listener<T> {
        /**
         * Receives all objects.
         *
         * @param sentNanos when the request was sent; the page is at least as new
         * @param awayNanos for how long the store did not answer before; 0 when it did
         */
        void onSnapshot(FeedPage<T> page, long sentNanos, long awayNanos);

        /**
         * Receives changes; the page is empty when there was none.
         *
         * @param coveredNanos the time up to which no further change exists
         */
        void onChanges(FeedPage<T> page, long coveredNanos);
    }

    private final EventLoop mLoop;
    private final String mFeedName;
    private final Feed<T> mFeed;
    private final long mWatchMillis;
    private final long mBatchMillis;
    private final LongSupplier mClock;
    private final Listener<T> mListener;
    private long mRetryDelayMillis = MIN_RETRY_MILLIS;
    private long mStoreLostSinceNanos;
    private final Random mRandom = new Random();
    private boolean mStoreLost;
    private boolean mConcurrentReadRunning;
    // Counts the readings of everything; answers that belong to an earlier one are ignored.
    private long mReadGeneration;
    private long mLastRereadNanos;

    /**
     * Creates a follower; {@link #start} begins to read.
     *
     * @param waitMillis how long one watch may wait, at most
     * @param pauseMillis how long to gather further changes after one that came soon after the one
     *     before; each watch is a call to the store, and changes often come in series
     */
    FeedFollower(
            EventLoop loop,
            String name,
            Feed<T> feed,
            long waitMillis,
            long pauseMillis,
            LongSupplier clock,
            Listener<T> listener) {
        mLoop = loop;
        mFeedName = name;
        mFeed = feed;
        mWatchMillis = waitMillis;
        mBatchMillis = pauseMillis;
        mClock = clock;
        mListener = listener;
        mLastRereadNanos = clock.getAsLong() - MIN_REREAD_INTERVAL_NANOS;
    }

    void start() {
        readAll();
    }

    /** Reads everything again, because another instance knows more; the old watch is ignored. */
    void reread() {
        long now = mClock.getAsLong();
        if (now - mLastRereadNanos >= MIN_REREAD_INTERVAL_NANOS) {
            mLastRereadNanos = now;
            readAll();
        }
    }

    /** Reads everything beside the watch, which goes on; nothing happens while such a read runs. */
    void readConcurrently() {
        if (mConcurrentReadRunning) {
            return;
        }
        mConcurrentReadRunning = true;
        long sent = mClock.getAsLong();
        mFeed.readAll()
                .whenComplete(
                        (page, failure) ->
                                mLoop.execute(() -> onConcurrentRead(page, failure, sent)));
    }

    private void onConcurrentRead(FeedPage<T> page, Throwable failure, long sentNanos) {
        mConcurrentReadRunning = false;
        if (failure != null) {
            recordStoreLoss(failure, sentNanos);
            return;
        }
        onSuccess(mStoreLost ? mClock.getAsLong() - mStoreLostSinceNanos : 0);
        mListener.onSnapshot(page, sentNanos, 0);
    }

    private void readAll() {
        mReadGeneration++;
        long round = mReadGeneration;
        long sent = mClock.getAsLong();
        mFeed.readAll()
                .whenComplete(
                        (page, failure) ->
                                mLoop.execute(() -> onReadCompleted(page, failure, sent, round)));
    }

    private void onReadCompleted(FeedPage<T> page, Throwable failure, long sentNanos, long round) {
        if (round != mReadGeneration) {
            return;
        }
        if (failure != null) {
            onReadFailure(failure, sentNanos);
            return;
        }
        long away = mStoreLost ? mClock.getAsLong() - mStoreLostSinceNanos : 0;
        onSuccess(away);
        mListener.onSnapshot(page, sentNanos, away);
        watch(page.revision());
    }

    private void watch(long revision) {
        long round = mReadGeneration;
        // Watches of different lengths keep instances that started together out of step.
        long waitMillis = mWatchMillis - mRandom.nextInt((int) (mWatchMillis / 3));
        long sent = mClock.getAsLong();
        mFeed.changesAfter(revision, waitMillis)
                .whenComplete(
                        (page, failure) ->
                                mLoop.execute(
                                        () ->
                                                onWatchCompleted(
                                                        page, failure, sent, waitMillis, round)));
    }

    private void onWatchCompleted(
            FeedPage<T> page, Throwable failure, long sentNanos, long waitMillis, long round) {
        if (round != mReadGeneration) {
            return;
        }
        if (failure != null) {
            onWatchFailure(failure, sentNanos);
            return;
        }
        long covered =
                WatchCoverage.coveredNanos(
                        sentNanos,
                        mClock.getAsLong(),
                        TimeUnit.MILLISECONDS.toNanos(waitMillis),
                        page.entries().isEmpty());
        mListener.onChanges(page, covered);
        boolean isSeries = mClock.getAsLong() - sentNanos < BURST_NANOS;
        if (!isSeries || mBatchMillis == 0) {
            watch(page.revision());
            return;
        }
        mLoop.schedule(
                () -> {
                    if (round == mReadGeneration) {
                        watch(page.revision());
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
        // The first new read is sent at once: a cut watch says little about the store.
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
        mLoop.schedule(this::readAll, mRetryDelayMillis, TimeUnit.MILLISECONDS);
        mRetryDelayMillis = Math.min(MAX_RETRY_MILLIS, mRetryDelayMillis * 2);
    }

    private void onSuccess(long awayNanos) {
        mRetryDelayMillis = MIN_RETRY_MILLIS;
        if (mStoreLost) {
            mStoreLost = false;
            GatewayEvent.STORE_BACK.log(mFeedName, TimeUnit.NANOSECONDS.toMillis(awayNanos));
        }
    }
}
