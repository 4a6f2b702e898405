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
    private static final long CHECK_MILLIS = 250;
    private static final int MOST_DOUBLINGS = 2;
    private static final double YOUNG_PART = 1 / 3.0;
    // The rest of the bound is for the questions that follow, also where a watch is silent.
    private static final double OLD_PART = 0.6;

    private final EventLoop mLoop;
    private final String mInstance;
    private final ControlPlane mControl;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private final ConfirmationSources mSources;
    private final long mYoungNanos;
    private final long mOldNanos;
    private Map<String, InstanceEntry> mOthers = Map.of();
    private Optional<String> mUnanswered = Optional.empty();
    private long mNumber;
    private long mAskedNanos;
    private int mStoreQuestions;
    private long mAskStoreAgainNanos;

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
        mYoungNanos = (long) (bound * YOUNG_PART);
        mOldNanos = (long) (bound * OLD_PART);
        mSources = new ConfirmationSources(settings.instance(), settings.failureDomain());
        // Answers to questions of an earlier process of this instance must not match.
        mNumber = random.nextLong() >>> 1;
    }

    void start() {
        scheduleCheck();
    }

    private void scheduleCheck() {
        long untilOld = TimeUnit.NANOSECONDS.toMillis(mYoungNanos - ageNanos()) + 1;
        mLoop.schedule(this::check, Math.max(CHECK_MILLIS, untilOld), TimeUnit.MILLISECONDS);
    }

    private long ageNanos() {
        return mClock.getAsLong() - mControl.view().confirmedNanos();
    }

    void onOthers(Map<String, InstanceEntry> others) {
        mOthers = others;
        Map<String, String> domains = new HashMap<>();
        others.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
        mSources.onInstances(domains);
    }

    private void check() {
        scheduleCheck();
        long now = mClock.getAsLong();
        mUnanswered.ifPresent(each -> mSources.exclude(each, now));
        mUnanswered = Optional.empty();
        long age = ageNanos();
        if (age < mYoungNanos) {
            mStoreQuestions = 0;
            return;
        }
        Optional<String> source = mSources.choose(now);
        if (source.isEmpty() || age >= mOldNanos) {
            askStore(now);
        }
        source.ifPresent(each -> ask(each, now));
    }

    /** Asks the store, less and less often while it does not confirm: it may turn this one away. */
    private void askStore(long nowNanos) {
        if (mStoreQuestions > 0 && nowNanos - mAskStoreAgainNanos < 0) {
            return;
        }
        long pauseMillis = CHECK_MILLIS << Math.min(MOST_DOUBLINGS, mStoreQuestions);
        mStoreQuestions++;
        mAskStoreAgainNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        mControl.confirmAtStore();
    }

    private void ask(String source, long nowNanos) {
        mNumber++;
        mAskedNanos = nowNanos;
        mUnanswered = Optional.of(source);
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setConfirmationQuestion(
                                ConfirmationQuestion.newBuilder().setNumber(mNumber))
                        .build(),
                mOthers.get(source).peerAddress());
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
        if (answer.getNumber() != mNumber || mUnanswered.isEmpty()) {
            return;
        }
        String source = mUnanswered.get();
        mUnanswered = Optional.empty();
        long age = AgeCodec.decodeNanos(answer.getAgeMillis());
        if (age >= mOldNanos) {
            mSources.exclude(source, mClock.getAsLong());
        }
        mControl.onPeerConfirmation(mAskedNanos, answer.getVersion(), age);
    }
}
