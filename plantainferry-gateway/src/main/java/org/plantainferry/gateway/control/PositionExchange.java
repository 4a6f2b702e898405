package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.freshness.AgeCodec;
import org.plantainferry.engine.freshness.TimedPosition;
import org.plantainferry.engine.membership.DomainRepresentatives;
import org.plantainferry.engine.retry.AdaptiveTimeout;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.PositionAnswer;
import org.plantainferry.gateway.peer.generated.PositionQuestion;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.PeerPositionSource;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Shares samples of the log positions of primaries within a failure domain.
 *
 * <p>For each group, one instance of the domain samples the primary and the others ask that
 * instance. Used by the control thread only, except {@link #requestPosition}.
 */
final class PositionExchange implements PeerPositionSource {
    private static final long MIN_ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    // Later, a request has little of its time left to sample the primary itself.
    private static final long MAX_ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long EXCLUSION_MILLIS = 2_000;

    private final EventLoop mLoop;
    private final String mInstance;
    private final String mFailureDomain;
    private final TrafficServer mTraffic;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private final Map<String, DomainRepresentatives> mSamplers = new HashMap<>();
    private final AdaptiveTimeout mAnswerTimeout =
            new AdaptiveTimeout(MIN_ANSWER_TIMEOUT_NANOS, MAX_ANSWER_TIMEOUT_NANOS);
    private final Map<Long, Question> mPendingQuestions = new HashMap<>();
    private Map<String, InstanceEntry> mOtherInstances = Map.of();
    private Map<String, String> mDomains = Map.of();
    private long mLastQuestionNumber;

    /** Represents a question that was not answered yet. */
    private static final class Question {
        private final String mService;
        private final String mAsked;
        private final long mSentNanos;
        private final Consumer<Optional<TimedPosition>> mCallback;
        private boolean mGivenUp;

        Question(
                String service,
                String asked,
                long sentNanos,
                Consumer<Optional<TimedPosition>> callback) {
            mService = service;
            mAsked = asked;
            mSentNanos = sentNanos;
            mCallback = callback;
        }
    }

    PositionExchange(
            EventLoop loop,
            GatewaySettings settings,
            TrafficServer traffic,
            PeerChannel peers,
            LongSupplier clock,
            Random random) {
        mLoop = loop;
        mInstance = settings.instance();
        mFailureDomain = settings.failureDomain();
        mTraffic = traffic;
        mPeers = peers;
        mClock = clock;
        // Answers to questions of an earlier process of this instance must not match.
        mLastQuestionNumber = random.nextLong() >>> 1;
    }

    void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        mOtherInstances = otherInstances;
        Map<String, String> domains = new HashMap<>();
        otherInstances.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
        domains.put(mInstance, mFailureDomain);
        mDomains = domains;
        mSamplers.values().forEach(representatives -> representatives.onInstances(domains));
    }

    @Override
    public void requestPosition(
            String service, long maximumAgeMillis, Consumer<Optional<TimedPosition>> callback) {
        mLoop.execute(() -> askSampler(service, maximumAgeMillis, callback));
    }

    private void askSampler(
            String service, long maximumAgeMillis, Consumer<Optional<TimedPosition>> callback) {
        long now = mClock.getAsLong();
        Optional<InstanceEntry> sampler =
                samplers(service).representative(mFailureDomain, now).map(mOtherInstances::get);
        if (sampler.isEmpty()) {
            mTraffic.execute(() -> callback.accept(Optional.empty()));
            return;
        }
        mLastQuestionNumber++;
        long number = mLastQuestionNumber;
        mPendingQuestions.put(number, new Question(service, sampler.get().name(), now, callback));
        PositionQuestion.Builder question =
                PositionQuestion.newBuilder()
                        .setNumber(number)
                        .setService(service)
                        .setMaximumAgeMillis(maximumAgeMillis);
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setPositionQuestion(question)
                        .build(),
                sampler.get().peerAddress());
        mLoop.schedule(
                () -> onTimeout(number), mAnswerTimeout.timeoutNanos(), TimeUnit.NANOSECONDS);
    }

    private DomainRepresentatives samplers(String service) {
        return mSamplers.computeIfAbsent(
                service,
                key -> {
                    DomainRepresentatives representatives =
                            new DomainRepresentatives("position " + key, EXCLUSION_MILLIS);
                    representatives.onInstances(mDomains);
                    return representatives;
                });
    }

    private void onTimeout(long number) {
        Question question = mPendingQuestions.get(number);
        if (question == null) {
            return;
        }
        question.mGivenUp = true;
        samplers(question.mService).exclude(question.mAsked, mClock.getAsLong());
        mTraffic.execute(() -> question.mCallback.accept(Optional.empty()));
        // Until then, a late answer still tells how long answers take.
        mLoop.schedule(
                () -> mPendingQuestions.remove(number), EXCLUSION_MILLIS, TimeUnit.MILLISECONDS);
    }

    void onAnswer(PositionAnswer answer) {
        Question question = mPendingQuestions.remove(answer.getNumber());
        if (question == null) {
            return;
        }
        long elapsedNanos = mClock.getAsLong() - question.mSentNanos;
        mAnswerTimeout.onAnswer(elapsedNanos);
        if (elapsedNanos < mAnswerTimeout.timeoutNanos()) {
            samplers(question.mService).onContact(question.mAsked);
        }
        if (question.mGivenUp) {
            return;
        }
        Optional<TimedPosition> position = Optional.empty();
        boolean isValid = answer.getTerm() >= 0 && answer.getPosition() >= 0;
        if (answer.getKnown() && isValid) {
            // The age is relative to the answer. Subtracting it from the earlier sending time of
            // the question never makes the sample look newer than it is.
            long ageNanos = AgeCodec.decodeNanos(answer.getAgeMillis());
            position =
                    Optional.of(
                            new TimedPosition(
                                    new LogPosition(answer.getTerm(), answer.getPosition()),
                                    question.mSentNanos - ageNanos));
        }
        Optional<TimedPosition> result = position;
        mTraffic.execute(() -> question.mCallback.accept(result));
    }

    void onQuestion(PositionQuestion question, InetSocketAddress sender) {
        mTraffic.findPrimaryPosition(
                question.getService(),
                question.getMaximumAgeMillis(),
                sample -> mLoop.execute(() -> reply(question.getNumber(), sample, sender)));
    }

    private void reply(long number, Optional<TimedPosition> sample, InetSocketAddress sender) {
        PositionAnswer.Builder answer = PositionAnswer.newBuilder().setNumber(number);
        sample.ifPresent(
                sampled -> {
                    long ageNanos = Math.max(0, mClock.getAsLong() - sampled.sentNanos());
                    answer.setKnown(true)
                            .setTerm(sampled.position().term())
                            .setPosition(sampled.position().position())
                            .setAgeMillis(AgeCodec.encodeMillis(ageNanos));
                });
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setPositionAnswer(answer)
                        .build(),
                sender);
    }
}
