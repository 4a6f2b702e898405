package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.ConfirmationAnswer;
import org.plantainferry.gateway.peer.generated.ConfirmationQuestion;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.FleetView;

/**
 * Keeps the confirmation of the configuration young with the help of other instances.
 *
 * <p>Each instance asks the store only every few seconds. All of them together ask it several times
 * a second, and pass on what they learned. Used by the control thread only.
 */
final class ConfirmationExchange {
    private static final long CHECK_MILLIS = 350;
    private static final long YOUNG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EventLoop mLoop;
    private final String mInstance;
    private final ControlPlane mControl;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private final Random mRandom;
    private List<InstanceEntry> mOthers = List.of();
    private long mNumber;
    private long mAskedNanos;

    ConfirmationExchange(
            EventLoop loop,
            String instance,
            ControlPlane control,
            PeerChannel peers,
            LongSupplier clock,
            Random random) {
        mLoop = loop;
        mInstance = instance;
        mControl = control;
        mPeers = peers;
        mClock = clock;
        mRandom = random;
        mNumber = random.nextLong() >>> 1;
    }

    void start() {
        scheduleCheck();
    }

    private void scheduleCheck() {
        long age = mClock.getAsLong() - mControl.view().confirmedNanos();
        long untilOld = TimeUnit.NANOSECONDS.toMillis(YOUNG_NANOS - age) + 1;
        mLoop.schedule(this::askWhenOld, Math.max(CHECK_MILLIS, untilOld), TimeUnit.MILLISECONDS);
    }

    void onOthers(Map<String, InstanceEntry> others) {
        mOthers = new ArrayList<>(others.values());
    }

    private void askWhenOld() {
        scheduleCheck();
        long now = mClock.getAsLong();
        boolean isYoung = now - mControl.view().confirmedNanos() < YOUNG_NANOS;
        if (isYoung || mOthers.isEmpty()) {
            return;
        }
        mNumber++;
        mAskedNanos = now;
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setConfirmationQuestion(
                                ConfirmationQuestion.newBuilder().setNumber(mNumber))
                        .build(),
                mOthers.get(mRandom.nextInt(mOthers.size())).peerAddress());
    }

    void onQuestion(ConfirmationQuestion question, InetSocketAddress sender) {
        FleetView view = mControl.view();
        long age = Math.max(0, mClock.getAsLong() - view.confirmedNanos());
        ConfirmationAnswer.Builder answer =
                ConfirmationAnswer.newBuilder()
                        .setNumber(question.getNumber())
                        .setVersion(view.configuration().version())
                        .setAgeMillis(age / NANOS_PER_MILLI + 1);
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setConfirmationAnswer(answer)
                        .build(),
                sender);
    }

    void onAnswer(ConfirmationAnswer answer) {
        // Only the newest question has a known time.
        if (answer.getNumber() == mNumber) {
            mControl.onPeerConfirmation(
                    mAskedNanos, answer.getVersion(), answer.getAgeMillis() * NANOS_PER_MILLI);
        }
    }
}
