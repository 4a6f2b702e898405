package org.plantainferry.verification.load;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Sends requests one after the other; everything happens on its event loop. */
final class LoadCaller {
    // A refused caller of a closed loop would otherwise repeat its request thousands of times a
    // second and measure the refusals only.
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

    LoadCaller(LoadPlan plan, int number, EventLoop loop, LoadRecorder recorder, long startNanos) {
        mPlan = plan;
        mCallerIndex = number;
        mEventLoop = loop;
        mRecorder = recorder;
        mRandom = new SplittableRandom(plan.seed() + number);
        mMeasuringStartNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(plan.warmUpMillis());
        mEndNanos = mMeasuringStartNanos + TimeUnit.MILLISECONDS.toNanos(plan.durationMillis());
        double second = TimeUnit.SECONDS.toNanos(1);
        mIntervalNanos =
                plan.ratePerSecond()
                        .map(rate -> (long) (second * plan.callers() / rate))
                        .orElse(0L);
        mNextDueNanos = startNanos + mIntervalNanos * number / plan.callers();
        for (String address : plan.addresses()) {
            mConnections.add(new LoadConnection(address, loop));
        }
    }

    void start() {
        mEventLoop.execute(this::sendWhenDue);
    }

    void close() {
        mEventLoop.execute(() -> mConnections.forEach(LoadConnection::close));
    }

    private void sendWhenDue() {
        long now = System.nanoTime();
        if (now - mEndNanos >= 0) {
            return;
        }
        if (mIntervalNanos > 0 && mNextDueNanos - now > 0) {
            mEventLoop.schedule(this::send, mNextDueNanos - now, TimeUnit.NANOSECONDS);
        } else {
            send();
        }
    }

    private void send() {
        long started = mIntervalNanos > 0 ? mNextDueNanos : System.nanoTime();
        boolean read = mRandom.nextDouble() < mPlan.readShare();
        long step = mPlan.rotatesAddresses() ? mRequestCount : 0;
        LoadConnection connection =
                mConnections.get((int) ((mCallerIndex + step) % mConnections.size()));
        RequestFactory.Request request =
                mPlan.requestFactory().create(mCallerIndex, mRequestCount, read, mSessionToken);
        mRequestCount++;
        connection.send(request, answer -> onResponse(answer, read, started));
    }

    private void onResponse(LoadConnection.Response answer, boolean read, long started) {
        long now = System.nanoTime();
        // By the time of the answer: a caller that is behind its plan would never be measured by
        // the planned start.
        boolean isMeasured = now - mMeasuringStartNanos >= 0 && now - mEndNanos < 0;
        if (isMeasured) {
            mRecorder.record(answer, read, now - started);
        }
        if (mPlan.usesSessionTokens() && answer.sessionToken().isPresent()) {
            mSessionToken = answer.sessionToken();
        }
        mNextDueNanos += mIntervalNanos;
        if (answer.status() == 200 || mIntervalNanos > 0) {
            // Through the queue of the event loop, so that recursion cannot grow.
            mEventLoop.execute(this::sendWhenDue);
        } else {
            mEventLoop.schedule(this::sendWhenDue, PAUSE_AFTER_ERROR_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
