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
    private final int mNumber;
    private final EventLoop mLoop;
    private final LoadRecorder mRecorder;
    private final List<LoadConnection> mConnections = new ArrayList<>();
    private final SplittableRandom mRandom;
    private final long mMeasureNanos;
    private final long mEndNanos;
    private final long mIntervalNanos;
    private Optional<String> mSession = Optional.empty();
    private long mSent;
    private long mDueNanos;

    LoadCaller(LoadPlan plan, int number, EventLoop loop, LoadRecorder recorder, long startNanos) {
        mPlan = plan;
        mNumber = number;
        mLoop = loop;
        mRecorder = recorder;
        mRandom = new SplittableRandom(plan.seed() + number);
        mMeasureNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(plan.warmUpMillis());
        mEndNanos = mMeasureNanos + TimeUnit.MILLISECONDS.toNanos(plan.durationMillis());
        double second = TimeUnit.SECONDS.toNanos(1);
        mIntervalNanos =
                plan.ratePerSecond()
                        .map(rate -> (long) (second * plan.callers() / rate))
                        .orElse(0L);
        mDueNanos = startNanos + mIntervalNanos * number / plan.callers();
        for (String address : plan.addresses()) {
            mConnections.add(new LoadConnection(address, loop));
        }
    }

    void start() {
        mLoop.execute(this::sendWhenDue);
    }

    void close() {
        mLoop.execute(() -> mConnections.forEach(LoadConnection::close));
    }

    private void sendWhenDue() {
        long now = System.nanoTime();
        if (now - mEndNanos >= 0) {
            return;
        }
        if (mIntervalNanos > 0 && mDueNanos - now > 0) {
            mLoop.schedule(this::send, mDueNanos - now, TimeUnit.NANOSECONDS);
        } else {
            send();
        }
    }

    private void send() {
        long started = mIntervalNanos > 0 ? mDueNanos : System.nanoTime();
        boolean read = mRandom.nextDouble() < mPlan.readShare();
        long step = mPlan.rotatesAddresses() ? mSent : 0;
        LoadConnection connection =
                mConnections.get((int) ((mNumber + step) % mConnections.size()));
        RequestFactory.Request request =
                mPlan.requestFactory().create(mNumber, mSent, read, mSession);
        mSent++;
        connection.send(request, answer -> received(answer, read, started));
    }

    private void received(LoadConnection.Answer answer, boolean read, long started) {
        long now = System.nanoTime();
        // By the time of the answer: a caller that is behind its plan would never be measured by
        // the planned start.
        boolean isMeasured = now - mMeasureNanos >= 0 && now - mEndNanos < 0;
        if (isMeasured) {
            mRecorder.record(answer, read, now - started);
        }
        if (mPlan.usesSessionTokens() && answer.session().isPresent()) {
            mSession = answer.session();
        }
        mDueNanos += mIntervalNanos;
        if (answer.status() == 200 || mIntervalNanos > 0) {
            // Through the queue of the event loop, so that recursion cannot grow.
            mLoop.execute(this::sendWhenDue);
        } else {
            mLoop.schedule(this::sendWhenDue, PAUSE_AFTER_ERROR_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
