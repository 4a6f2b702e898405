package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.AgeCodec;
import org.plantainferry.engine.freshness.ConfirmationSources;
import org.plantainferry.engine.freshness.FeedLag;
import org.plantainferry.engine.retry.AdaptiveTimeout;
import org.plantainferry.gateway.feed.StoreFollowing;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.ConfirmationAnswer;
import org.plantainferry.gateway.peer.generated.ConfirmationQuestion;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.settings.ExperimentalSettings;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.FleetView;

/**
 * Keeps the confirmation of the configuration fresh with the help of other instances, and chooses
 * the instance through which this one follows the store.
 *
 * <p>One instance of each failure domain reads and watches the store, and the others ask and follow
 * that instance. An instance whose confirmation becomes stale nevertheless reads the store itself.
 * Used by the control thread only.
 */
final class ConfirmationExchange {
    private static final long CHECK_INTERVAL_MILLIS = 250;
    private static final int MAX_BACKOFF_DOUBLINGS = 2;
    private static final double FRESH_FRACTION = 1 / 3.0;
    // Leaves the remainder of the bound for further requests, also if a watch gets no answer.
    private static final double STALE_FRACTION = 0.6;
    // Instances that start together see each other's entries after this time.
    private static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    // An instance that knows no other one by then follows the store.
    private static final long ALONE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    private static final int MAX_UNANSWERED_QUESTIONS = 3;
    // At the check after a question, a missing answer counts.
    private static final long MIN_ANSWER_TIMEOUT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MILLIS - 10);
    private static final long MAX_ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final EventLoop mLoop;
    private final String mInstance;
    private final ControlPlane mControl;
    private final StoreFollowing mFollowing;
    private final boolean mFollowsInstances;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private final ConfirmationSources mSources;
    private final FeedLag mLag = new FeedLag();
    private final long mFreshNanos;
    private final long mStaleNanos;
    private Map<String, InstanceEntry> mOtherInstances = Map.of();
    private long mStartedNanos;
    private final AdaptiveTimeout mAnswerTimeout =
            new AdaptiveTimeout(MIN_ANSWER_TIMEOUT_NANOS, MAX_ANSWER_TIMEOUT_NANOS);
    private final Map<Long, Question> mPendingQuestions = new HashMap<>();
    private Optional<ScheduledFuture<?>> mNextCheck = Optional.empty();
    private long mLastQuestionNumber;
    private int mStoreReads;
    private long mNextStoreReadNanos;

    /** Holds a question to another instance that was not answered yet. */
    private record Question(String source, long askedNanos) {}

    ConfirmationExchange(
            EventLoop loop,
            GatewaySettings settings,
            ControlPlane control,
            StoreFollowing following,
            PeerChannel peers,
            LongSupplier clock,
            Random random) {
        mLoop = loop;
        mInstance = settings.instance();
        mControl = control;
        mFollowing = following;
        mFollowsInstances =
                settings.experimental().storeFollowing().equals(ExperimentalSettings.DOMAIN);
        mPeers = peers;
        mClock = clock;
        long boundNanos = TimeUnit.MILLISECONDS.toNanos(settings.configurationMillis());
        mFreshNanos = (long) (boundNanos * FRESH_FRACTION);
        mStaleNanos = (long) (boundNanos * STALE_FRACTION);
        mSources = new ConfirmationSources(settings.instance(), settings.failureDomain());
        // Answers to questions of an earlier process of this instance must not match.
        mLastQuestionNumber = random.nextLong() >>> 1;
    }

    void start() {
        mStartedNanos = mClock.getAsLong();
        scheduleCheck();
    }

    private void scheduleCheck() {
        long untilStaleMillis = TimeUnit.NANOSECONDS.toMillis(mFreshNanos - ageNanos()) + 1;
        boolean isUrgent = !mFollowing.isFollowing() || mLag.isBehind();
        long delayMillis =
                isUrgent
                        ? CHECK_INTERVAL_MILLIS
                        : Math.max(CHECK_INTERVAL_MILLIS, untilStaleMillis);
        mNextCheck.ifPresent(check -> check.cancel(false));
        mNextCheck = Optional.of(mLoop.schedule(this::check, delayMillis, TimeUnit.MILLISECONDS));
    }

    private long ageNanos() {
        return mClock.getAsLong() - mControl.view().confirmedNanos();
    }

    void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        mOtherInstances = otherInstances;
        Map<String, String> domains = new HashMap<>();
        otherInstances.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
        mSources.onInstances(domains);
    }

    /** Chooses another source because the connection to the followed instance has ended. */
    void onSourceLost(String source) {
        mSources.exclude(source, mClock.getAsLong());
        check();
    }

    private void check() {
        scheduleCheck();
        long now = mClock.getAsLong();
        long ageNanos = ageNanos();
        excludeSilentSource(ageNanos, now);
        boolean isFresh = ageNanos < mFreshNanos;
        if (isFresh && mFollowing.isFollowing() && !mLag.isBehind()) {
            mStoreReads = 0;
            return;
        }
        if (!isSettled(now)) {
            return;
        }
        Optional<String> source = mSources.choose(now);
        if (source.isEmpty() || ageNanos >= mStaleNanos) {
            readFromStore(now);
        }
        source.ifPresent(asked -> ask(asked, now));
    }

    /** Returns whether enough instances can be known to choose among them. */
    private boolean isSettled(long nowNanos) {
        long sinceStartNanos = nowNanos - mStartedNanos;
        return sinceStartNanos >= ALONE_NANOS
                || (sinceStartNanos >= SETTLING_NANOS && !mOtherInstances.isEmpty());
    }

    /**
     * Excludes a source that has not answered.
     *
     * <p>One that is followed may be busy, so it is asked again while the confirmation allows.
     */
    private void excludeSilentSource(long ageNanos, long nowNanos) {
        if (!isAnswerOverdue(nowNanos)) {
            return;
        }
        boolean isTolerated =
                mFollowing.isFollowing()
                        && ageNanos < mStaleNanos
                        && mPendingQuestions.size() < MAX_UNANSWERED_QUESTIONS;
        if (!isTolerated) {
            mPendingQuestions
                    .values()
                    .forEach(question -> mSources.exclude(question.source(), nowNanos));
            mPendingQuestions.clear();
        }
    }

    private boolean isAnswerOverdue(long nowNanos) {
        long timeoutNanos = mAnswerTimeout.timeoutNanos();
        return mPendingQuestions.values().stream()
                .anyMatch(question -> nowNanos - question.askedNanos() >= timeoutNanos);
    }

    /**
     * Reads the store, with exponential backoff until it confirms the configuration.
     *
     * <p>The store may reject this instance.
     */
    private void readFromStore(long nowNanos) {
        if (mStoreReads > 0 && nowNanos - mNextStoreReadNanos < 0) {
            return;
        }
        long delayMillis = CHECK_INTERVAL_MILLIS << Math.min(MAX_BACKOFF_DOUBLINGS, mStoreReads);
        mStoreReads++;
        mNextStoreReadNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
        mFollowing.readConfiguration(this::onReadFromStore);
    }

    /** Follows the store if no other instance is left to follow. */
    private void onReadFromStore() {
        boolean isAfterOutage = mStoreReads > 1;
        mStoreReads = 0;
        if (isAfterOutage) {
            mSources.clearExclusions();
        }
        if (mSources.choose(mClock.getAsLong()).isEmpty()) {
            mLag.reset();
            mFollowing.followStore();
        }
    }

    private void ask(String source, long nowNanos) {
        mLastQuestionNumber++;
        mPendingQuestions.put(mLastQuestionNumber, new Question(source, nowNanos));
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
        long ageNanos = Math.max(0, mClock.getAsLong() - view.confirmedNanos());
        ConfirmationAnswer.Builder answer =
                ConfirmationAnswer.newBuilder()
                        .setNumber(question.getNumber())
                        .setVersion(view.configuration().version())
                        .setAgeMillis(AgeCodec.encodeMillis(ageNanos))
                        .addAllRevisions(mFollowing.lastChanges());
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setConfirmationAnswer(answer)
                        .build(),
                sender);
    }

    void onAnswer(ConfirmationAnswer answer) {
        Question question = mPendingQuestions.get(answer.getNumber());
        if (question == null) {
            return;
        }
        mPendingQuestions.clear();
        String source = question.source();
        long now = mClock.getAsLong();
        mAnswerTimeout.onAnswer(now - question.askedNanos());
        long ageNanos = AgeCodec.decodeNanos(answer.getAgeMillis());
        boolean isComparable = mFollowing.reportsEpochs(answer.getRevisionsList());
        if (!isComparable) {
            GatewayEvent.FEED_LINK_FAILED.log(source, "it reports no epoch of the store");
        }
        if (ageNanos >= mStaleNanos || !isComparable) {
            mSources.exclude(source, now);
        } else if (mFollowsInstances) {
            Optional.ofNullable(mOtherInstances.get(source))
                    .ifPresent(entry -> follow(entry, answer, now));
        }
        mControl.onPeerConfirmation(question.askedNanos(), answer.getVersion(), ageNanos);
    }

    private void follow(InstanceEntry source, ConfirmationAnswer answer, long nowNanos) {
        mFollowing.follow(source);
        boolean isBehind = mFollowing.isBehind(answer.getRevisionsList());
        if (mLag.onAnswer(isBehind, nowNanos)) {
            mFollowing.reopenLink();
        }
    }
}
