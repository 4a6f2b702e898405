package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.quota.AnsweredQuestions;
import org.plantainferry.engine.quota.TokenRound;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.TokenAnswer;
import org.plantainferry.gateway.peer.generated.TokenQuestion;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.TokenBorrower;
import org.plantainferry.gateway.traffic.TokenGrant;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Borrows tokens from other instances, asking one after the other, and lends tokens to them.
 *
 * <p>Used by the control thread only, except {@link #borrow}.
 */
final class TokenExchange implements TokenBorrower {
    private static final int MAX_LENDERS = 3;
    private static final long ANSWER_TIMEOUT_MILLIS = 25;
    // An instance that has just started may take this long to answer.
    private static final long LATE_ANSWER_MILLIS = 150;
    private static final long UNRESPONSIVE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final EventLoop mLoop;
    private final String mInstance;
    private final TrafficServer mTraffic;
    private final PeerChannel mPeers;
    private final Random mRandom;
    private final Map<Long, BorrowRequest> mPendingRequests = new HashMap<>();
    private final Map<String, Long> mUnresponsiveUntilNanos = new HashMap<>();
    private final LongSupplier mClock;
    private final AnsweredQuestions mAnsweredQuestions = new AnsweredQuestions();
    private Map<String, InstanceEntry> mOtherInstances = Map.of();
    private long mLastQuestionNumber;

    /** Represents a request to borrow tokens. */
    private static final class BorrowRequest {
        private final String mWorkspace;
        private final Map<String, InstanceEntry> mLenders = new HashMap<>();
        private final TokenRound mRound;
        private final int mWanted;
        private final Consumer<TokenGrant> mCallback;
        private final List<Long> mQuestionNumbers = new ArrayList<>();

        BorrowRequest(
                String workspace,
                List<InstanceEntry> lenders,
                int wanted,
                Consumer<TokenGrant> callback) {
            mWorkspace = workspace;
            lenders.forEach(lender -> mLenders.put(lender.name(), lender));
            mRound = new TokenRound(lenders.stream().map(InstanceEntry::name).toList());
            mWanted = wanted;
            mCallback = callback;
        }
    }

    TokenExchange(
            EventLoop loop,
            String instance,
            TrafficServer traffic,
            PeerChannel peers,
            LongSupplier clock,
            Random random) {
        mLoop = loop;
        mInstance = instance;
        mTraffic = traffic;
        mPeers = peers;
        mClock = clock;
        mRandom = random;
        mLastQuestionNumber = random.nextLong() >>> 1;
    }

    void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        mOtherInstances = otherInstances;
    }

    @Override
    public void borrow(
            String workspace, List<String> lenders, int wanted, Consumer<TokenGrant> callback) {
        mLoop.execute(
                () -> {
                    BorrowRequest request =
                            new BorrowRequest(workspace, lenders(lenders), wanted, callback);
                    perform(request, request.mRound.begin());
                });
    }

    /**
     * Returns the instances to ask; recently unresponsive ones come last.
     *
     * @param named the preferred lenders; if empty, a few instances are chosen at random
     */
    private List<InstanceEntry> lenders(List<String> named) {
        List<InstanceEntry> lenders = new ArrayList<>();
        if (named.isEmpty()) {
            lenders.addAll(mOtherInstances.values());
            Collections.shuffle(lenders, mRandom);
            lenders = new ArrayList<>(lenders.subList(0, Math.min(MAX_LENDERS, lenders.size())));
        } else {
            named.stream().map(mOtherInstances::get).filter(Objects::nonNull).forEach(lenders::add);
        }
        lenders.sort(Comparator.comparing(this::isUnresponsive));
        return lenders;
    }

    private boolean isUnresponsive(InstanceEntry instance) {
        Long untilNanos = mUnresponsiveUntilNanos.get(instance.name());
        return untilNanos != null && mClock.getAsLong() - untilNanos < 0;
    }

    private void perform(BorrowRequest request, TokenRound.Step step) {
        switch (step) {
            case ASK_NEXT -> askNextLender(request);
            case AWAIT_LATE_ANSWERS ->
                    mLoop.schedule(
                            () -> giveUp(request), LATE_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
            case REFUSED -> refuse(request);
            default -> {
                // An earlier question is still open.
            }
        }
    }

    private void askNextLender(BorrowRequest request) {
        InstanceEntry lender = request.mLenders.get(request.mRound.ask());
        mLastQuestionNumber++;
        long number = mLastQuestionNumber;
        mPendingRequests.put(number, request);
        request.mQuestionNumbers.add(number);
        TokenQuestion.Builder question =
                TokenQuestion.newBuilder()
                        .setNumber(number)
                        .setWorkspace(request.mWorkspace)
                        .setWanted(request.mWanted);
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setTokenQuestion(question)
                        .build(),
                lender.peerAddress());
        mLoop.schedule(
                () -> onTimeout(number, lender), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onTimeout(long number, InstanceEntry lender) {
        BorrowRequest request = mPendingRequests.get(number);
        if (request != null) {
            mUnresponsiveUntilNanos.put(lender.name(), mClock.getAsLong() + UNRESPONSIVE_NANOS);
            perform(request, request.mRound.onSilence(lender.name()));
        }
    }

    private void giveUp(BorrowRequest request) {
        if (request.mRound.giveUp()) {
            refuse(request);
        }
    }

    private void refuse(BorrowRequest request) {
        finish(request, new TokenGrant(0, request.mRound.shortestRetryMillis()));
    }

    private void finish(BorrowRequest request, TokenGrant grant) {
        request.mQuestionNumbers.forEach(mPendingRequests::remove);
        mTraffic.execute(() -> request.mCallback.accept(grant));
    }

    void onAnswer(String instance, TokenAnswer answer) {
        mUnresponsiveUntilNanos.remove(instance);
        BorrowRequest request = mPendingRequests.remove(answer.getNumber());
        if (request == null) {
            return;
        }
        if (!answer.getGranted()) {
            perform(request, request.mRound.onRefusal(instance, answer.getRetryAfterMillis()));
        } else if (request.mRound.onGrant()) {
            finish(request, new TokenGrant(Math.max(1, answer.getTokens()), 0));
        }
    }

    void onQuestion(String instance, TokenQuestion question, InetSocketAddress sender) {
        if (!mAnsweredQuestions.isFirst(instance, question.getNumber())) {
            return;
        }
        mTraffic.lendTokens(
                question.getWorkspace(),
                Math.max(1, question.getWanted()),
                grant -> mLoop.execute(() -> reply(question.getNumber(), grant, sender)));
    }

    private void reply(long number, TokenGrant grant, InetSocketAddress sender) {
        TokenAnswer.Builder answer =
                TokenAnswer.newBuilder()
                        .setNumber(number)
                        .setGranted(grant.granted())
                        .setTokens(grant.tokens())
                        .setRetryAfterMillis(grant.retryAfterMillis());
        mPeers.send(
                InstanceMessage.newBuilder().setInstance(mInstance).setTokenAnswer(answer).build(),
                sender);
    }
}
