package org.plantainferry.verification.load;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests one at a time, at a fixed rate or in a closed loop. All state is confined to the
 * event loop of the caller.
 */
final class LoadCaller {
    // Without a pause, a refused caller in a closed loop would send thousands of requests per
    // second, and the run would measure only refusals.
    private static final long PAUSE_AFTER_ERROR_MILLIS = 5;

    private final LoadPlan mPlan;
    private final int mCallerIndex;
    private final EventLoop mEventLoop;
    private final LoadRecorder mRecorder;
    private final List<LoadConnection> mConnections = new ArrayList<>();
    private final SplittableRandom mRandom;
    private final long mMeasuringStartNanos;
    private final long mEndNanos;
    private final long mIntervalNanos;
    private Optional<String> mSessionToken = Optional.empty();
    private long mRequestCount;
    private long mNextDueNanos;

    LoadCaller(
            LoadPlan plan,
            int callerIndex,
            EventLoop eventLoop,
            LoadRecorder recorder,
            long startNanos) {
        mPlan = plan;
        mCallerIndex = callerIndex;
        mEventLoop = eventLoop;
        mRecorder = recorder;
        mRandom = new SplittableRandom(plan.seed() + callerIndex);
        mMeasuringStartNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(plan.warmUpMillis());
        mEndNanos = mMeasuringStartNanos + TimeUnit.MILLISECONDS.toNanos(plan.durationMillis());
        double nanosPerSecond = TimeUnit.SECONDS.toNanos(1);
        mIntervalNanos =
                plan.ratePerSecond()
                        .map(rate -> (long) (nanosPerSecond * plan.callers() / rate))
                        .orElse(0L);
        mNextDueNanos = startNanos + mIntervalNanos * callerIndex / plan.callers();
        for (String address : plan.addresses()) {
            mConnections.add(new LoadConnection(address, eventLoop));
        }
    }

    void start() {
        mEventLoop.execute(this::sendWhenDue);
    }

    void close() {
        mEventLoop.execute(() -> mConnections.forEach(LoadConnection::close));
    }

    private void sendWhenDue() {
        long nowNanos = System.nanoTime();
        if (nowNanos - mEndNanos >= 0) {
            return;
        }
        if (mIntervalNanos > 0 && mNextDueNanos - nowNanos > 0) {
            mEventLoop.schedule(this::send, mNextDueNanos - nowNanos, TimeUnit.NANOSECONDS);
        } else {
            send();
        }
    }

    private void send() {
        long requestStartNanos = mIntervalNanos > 0 ? mNextDueNanos : System.nanoTime();
        boolean isRead = mRandom.nextDouble() < mPlan.readShare();
        long addressOffset = mPlan.rotatesAddresses() ? mRequestCount : 0;
        LoadConnection connection =
                mConnections.get((int) ((mCallerIndex + addressOffset) % mConnections.size()));
        RequestFactory.Request request =
                mPlan.requestFactory().create(mCallerIndex, mRequestCount, isRead, mSessionToken);
        mRequestCount++;
        connection.send(request, response -> onResponse(response, isRead, requestStartNanos));
    }

    private void onResponse(
            LoadConnection.Response response, boolean isRead, long requestStartNanos) {
        long nowNanos = System.nanoTime();
        // The time of the response decides, because the planned start times of a caller that is far
        // behind its schedule may never reach the measured period.
        boolean isMeasured = nowNanos - mMeasuringStartNanos >= 0 && nowNanos - mEndNanos < 0;
        if (isMeasured) {
            mRecorder.record(response, isRead, nowNanos - requestStartNanos);
        }
        if (mPlan.usesSessionTokens() && response.sessionToken().isPresent()) {
            mSessionToken = response.sessionToken();
        }
        mNextDueNanos += mIntervalNanos;
        if (response.status() == 200 || mIntervalNanos > 0) {
            // Schedules a new task instead of a direct call to keep the recursion depth bounded.
            mEventLoop.execute(this::sendWhenDue);
        } else {
            mEventLoop.schedule(this::sendWhenDue, PAUSE_AFTER_ERROR_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
