package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.AgeCodec;
import org.plantainferry.engine.freshness.ConfirmationSources;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.ConfirmationAnswer;
import org.plantainferry.gateway.peer.generated.ConfirmationQuestion;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.FleetView;

/**
 * Keeps the confirmation of the configuration young with the help of other instances.
 *
 * <p>One instance of each failure domain asks the store, and the others ask that one. An instance
 * whose confirmation has become old all the same asks the store itself. Used by the control thread
 * only.
 */
final class ConfirmationExchange {
    private static final long CHECK_INTERVAL_MILLIS = 250;
    private static final int MAX_BACKOFF_DOUBLINGS = 2;
    private static final double FRESH_FRACTION = 1 / 3.0;
    // The rest of the bound is for the questions that follow, also where a watch is silent.
    private static final double STALE_FRACTION = 0.6;

    private final EventLoop mLoop;
    private final String mInstance;
    private final ControlPlane mControl;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private final ConfirmationSources mSources;
    private final long mFreshNanos;
    private final long mStaleNanos;
    private Map<String, InstanceEntry> mOtherInstances = Map.of();
    private Optional<String> mAwaitedSource = Optional.empty();
    private long mLastQuestionNumber;
    private long mAskedNanos;
    private int mStoreReads;
    private long mNextStoreReadNanos;

    ConfirmationExchange(
            EventLoop loop,
            GatewaySettings settings,
            ControlPlane control,
            PeerChannel peers,
            LongSupplier clock,
            Random random) {
        mLoop = loop;
        mInstance = settings.instance();
        mControl = control;
        mPeers = peers;
        mClock = clock;
        long bound = TimeUnit.MILLISECONDS.toNanos(settings.configurationMillis());
        mFreshNanos = (long) (bound * FRESH_FRACTION);
        mStaleNanos = (long) (bound * STALE_FRACTION);
        mSources = new ConfirmationSources(settings.instance(), settings.failureDomain());
        // Answers to questions of an earlier process of this instance must not match.
        mLastQuestionNumber = random.nextLong() >>> 1;
    }

    void start() {
        scheduleCheck();
    }

    private void scheduleCheck() {
        long untilOld = TimeUnit.NANOSECONDS.toMillis(mFreshNanos - ageNanos()) + 1;
        mLoop.schedule(
                this::check, Math.max(CHECK_INTERVAL_MILLIS, untilOld), TimeUnit.MILLISECONDS);
    }

    private long ageNanos() {
        return mClock.getAsLong() - mControl.view().confirmedNanos();
    }

    void onOtherInstances(Map<String, InstanceEntry> others) {
        mOtherInstances = others;
        Map<String, String> domains = new HashMap<>();
        others.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
        mSources.onInstances(domains);
    }

    private void check() {
        scheduleCheck();
        long now = mClock.getAsLong();
        mAwaitedSource.ifPresent(each -> mSources.exclude(each, now));
        mAwaitedSource = Optional.empty();
        long age = ageNanos();
        if (age < mFreshNanos) {
            mStoreReads = 0;
            return;
        }
        Optional<String> source = mSources.choose(now);
        if (source.isEmpty() || age >= mStaleNanos) {
            readFromStore(now);
        }
        source.ifPresent(each -> ask(each, now));
    }

    /** Asks the store, less and less often while it does not confirm: it may turn this one away. */
    private void readFromStore(long nowNanos) {
        if (mStoreReads > 0 && nowNanos - mNextStoreReadNanos < 0) {
            return;
        }
        long pauseMillis = CHECK_INTERVAL_MILLIS << Math.min(MAX_BACKOFF_DOUBLINGS, mStoreReads);
        mStoreReads++;
        mNextStoreReadNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        mControl.confirmFromStore();
    }

    private void ask(String source, long nowNanos) {
        mLastQuestionNumber++;
        mAskedNanos = nowNanos;
        mAwaitedSource = Optional.of(source);
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setConfirmationQuestion(
                                ConfirmationQuestion.newBuilder().setNumber(mLastQuestionNumber))
                        .build(),
                mOtherInstances.get(source).peerAddress());
    }

    void onQuestion(ConfirmationQuestion question, InetSocketAddress sender) {
        FleetView view = mControl.view();
        long age = Math.max(0, mClock.getAsLong() - view.confirmedNanos());
        ConfirmationAnswer.Builder answer =
                ConfirmationAnswer.newBuilder()
                        .setNumber(question.getNumber())
                        .setVersion(view.configuration().version())
                        .setAgeMillis(AgeCodec.encodeMillis(age));
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setConfirmationAnswer(answer)
                        .build(),
                sender);
    }

    void onAnswer(ConfirmationAnswer answer) {
        // Only the newest question has a known time.
        if (answer.getNumber() != mLastQuestionNumber || mAwaitedSource.isEmpty()) {
            return;
        }
        String source = mAwaitedSource.get();
        mAwaitedSource = Optional.empty();
        long age = AgeCodec.decodeNanos(answer.getAgeMillis());
        if (age >= mStaleNanos) {
            mSources.exclude(source, mClock.getAsLong());
        }
        mControl.onPeerConfirmation(mAskedNanos, answer.getVersion(), age);
    }
}
