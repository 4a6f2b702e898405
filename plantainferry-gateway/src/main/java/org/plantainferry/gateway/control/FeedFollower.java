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
    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long LAST_RETRY_MILLIS = 1_600;
    private static final long SERIES_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long READ_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Receives what the store holds. */
    interface Listener<T> {
        /**
         * Receives all objects.
         *
         * @param sentNanos when the request was sent; the page is at least as new
         * @param awayNanos for how long the store did not answer before; 0 when it did
         */
        void onAll(FeedPage<T> page, long sentNanos, long awayNanos);

        /**
         * Receives changes; the page is empty when there was none.
         *
         * @param coveredNanos the time up to which no further change exists
         */
        void onChanges(FeedPage<T> page, long coveredNanos);
    }

    private final EventLoop mLoop;
    private final String mName;
    private final Feed<T> mFeed;
    private final long mWaitMillis;
    private final long mPauseMillis;
    private final LongSupplier mClock;
    private final Listener<T> mListener;
    private long mRetryMillis = FIRST_RETRY_MILLIS;
    private long mLostSinceNanos;
    private final Random mRandom = new Random();
    private boolean mLost;
    private boolean mReadingOnce;
    // Counts the readings of everything; answers that belong to an earlier one are ignored.
    private long mRound;
    private long mReadAgainNanos;

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
        mName = name;
        mFeed = feed;
        mWaitMillis = waitMillis;
        mPauseMillis = pauseMillis;
        mClock = clock;
        mListener = listener;
        mReadAgainNanos = clock.getAsLong() - READ_AGAIN_NANOS;
    }

    void start() {
        readAll();
    }

    /** Reads everything again, because another instance knows more; the old watch is ignored. */
    void readAgain() {
        long now = mClock.getAsLong();
        if (now - mReadAgainNanos >= READ_AGAIN_NANOS) {
            mReadAgainNanos = now;
            readAll();
        }
    }

    /** Reads everything beside the watch, which goes on; nothing happens while such a read runs. */
    void readOnce() {
        if (mReadingOnce) {
            return;
        }
        mReadingOnce = true;
        long sent = mClock.getAsLong();
        mFeed.readAll()
                .whenComplete((page, failure) -> mLoop.execute(() -> onOnce(page, failure, sent)));
    }

    private void onOnce(FeedPage<T> page, Throwable failure, long sentNanos) {
        mReadingOnce = false;
        if (failure != null) {
            noteLoss(failure, sentNanos);
            return;
        }
        onSuccess(mLost ? mClock.getAsLong() - mLostSinceNanos : 0);
        mListener.onAll(page, sentNanos, 0);
    }

    private void readAll() {
        mRound++;
        long round = mRound;
        long sent = mClock.getAsLong();
        mFeed.readAll()
                .whenComplete(
                        (page, failure) -> mLoop.execute(() -> onAll(page, failure, sent, round)));
    }

    private void onAll(FeedPage<T> page, Throwable failure, long sentNanos, long round) {
        if (round != mRound) {
            return;
        }
        if (failure != null) {
            onFailure(failure, sentNanos);
            return;
        }
        long away = mLost ? mClock.getAsLong() - mLostSinceNanos : 0;
        onSuccess(away);
        mListener.onAll(page, sentNanos, away);
        watch(page.revision());
    }

    private void watch(long revision) {
        long round = mRound;
        // Watches of different lengths keep instances that started together out of step.
        long waitMillis = mWaitMillis - mRandom.nextInt((int) (mWaitMillis / 3));
        long sent = mClock.getAsLong();
        mFeed.changesAfter(revision, waitMillis)
                .whenComplete(
                        (page, failure) ->
                                mLoop.execute(
                                        () -> onChanges(page, failure, sent, waitMillis, round)));
    }

    private void onChanges(
            FeedPage<T> page, Throwable failure, long sentNanos, long waitMillis, long round) {
        if (round != mRound) {
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
        boolean isSeries = mClock.getAsLong() - sentNanos < SERIES_NANOS;
        if (!isSeries || mPauseMillis == 0) {
            watch(page.revision());
            return;
        }
        mLoop.schedule(
                () -> {
                    if (round == mRound) {
                        watch(page.revision());
                    }
                },
                mPauseMillis,
                TimeUnit.MILLISECONDS);
    }

    private void onWatchFailure(Throwable failure, long sentNanos) {
        boolean isHistoryGone =
                Futures.unwrap(failure) instanceof PlantainferryException known
                        && known.code() == ErrorCode.VERSION_CONFLICT;
        if (!isHistoryGone) {
            noteLoss(failure, sentNanos);
        }
        // The first new read is sent at once: a cut watch says little about the store.
        readAll();
    }

    private void noteLoss(Throwable failure, long sinceNanos) {
        if (mLost) {
            return;
        }
        mLost = true;
        mLostSinceNanos = sinceNanos;
        GatewayEvent.STORE_LOST.log(mName, Futures.unwrap(failure).getMessage());
    }

    private void onFailure(Throwable failure, long sentNanos) {
        noteLoss(failure, sentNanos);
        mLoop.schedule(this::readAll, mRetryMillis, TimeUnit.MILLISECONDS);
        mRetryMillis = Math.min(LAST_RETRY_MILLIS, mRetryMillis * 2);
    }

    private void onSuccess(long awayNanos) {
        mRetryMillis = FIRST_RETRY_MILLIS;
        if (mLost) {
            mLost = false;
            GatewayEvent.STORE_BACK.log(mName, TimeUnit.NANOSECONDS.toMillis(awayNanos));
        }
    }
}
