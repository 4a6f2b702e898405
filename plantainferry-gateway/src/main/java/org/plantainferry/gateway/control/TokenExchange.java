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
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.TokenAnswer;
import org.plantainferry.gateway.peer.generated.TokenQuestion;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.TokenBorrower;
import org.plantainferry.gateway.traffic.TokenGrant;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Borrows tokens from other instances, one instance after the other, and lends to them.
 *
 * <p>Used by the control thread only, except {@link #borrow}.
 */
final class TokenExchange implements TokenBorrower {
    private static final int MAX_LENDERS = 3;
    private static final long ANSWER_TIMEOUT_MILLIS = 25;
    private static final long UNRESPONSIVE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final EventLoop mLoop;
    private final String mInstance;
    private final TrafficServer mTraffic;
    private final PeerChannel mPeers;
    private final Random mRandom;
    private final Map<Long, BorrowRequest> mPendingRequests = new HashMap<>();
    private final Map<String, Long> mUnresponsiveUntilNanos = new HashMap<>();
    private final LongSupplier mClock;
    private Map<String, InstanceEntry> mOtherInstances = Map.of();
    private long mLastQuestionNumber;

    /** Holds one wish for tokens. */
    private static final class BorrowRequest {
        private final String mWorkspace;
        private final List<InstanceEntry> mRemainingLenders;
        private final int mWanted;
        private final Consumer<TokenGrant> mCallback;
        private TokenGrant mBestRefusal = TokenGrant.NONE;

        BorrowRequest(
                String workspace,
                List<InstanceEntry> left,
                int wanted,
                Consumer<TokenGrant> callback) {
            mWorkspace = workspace;
            mRemainingLenders = left;
            mWanted = wanted;
            mCallback = callback;
        }

        /** Notes a refusal; the shortest known time to come back is the right one. */
        void onRefused(TokenGrant refusal) {
            boolean isSooner =
                    mBestRefusal.retryAfterMillis() == 0
                            || refusal.retryAfterMillis() < mBestRefusal.retryAfterMillis();
            if (refusal.retryAfterMillis() > 0 && isSooner) {
                mBestRefusal = refusal;
            }
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

    void onOtherInstances(Map<String, InstanceEntry> others) {
        mOtherInstances = others;
    }

    @Override
    public void borrow(
            String workspace, List<String> lenders, int wanted, Consumer<TokenGrant> callback) {
        mLoop.execute(
                () ->
                        askNextLender(
                                new BorrowRequest(workspace, lenders(lenders), wanted, callback)));
    }

    /** Returns whom to ask; those that have not answered lately come last. */
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
        Long until = mUnresponsiveUntilNanos.get(instance.name());
        return until != null && mClock.getAsLong() - until < 0;
    }

    private void askNextLender(BorrowRequest loan) {
        if (loan.mRemainingLenders.isEmpty()) {
            mTraffic.execute(() -> loan.mCallback.accept(loan.mBestRefusal));
            return;
        }
        InstanceEntry lender = loan.mRemainingLenders.remove(0);
        mLastQuestionNumber++;
        long number = mLastQuestionNumber;
        mPendingRequests.put(number, loan);
        TokenQuestion.Builder question =
                TokenQuestion.newBuilder()
                        .setNumber(number)
                        .setWorkspace(loan.mWorkspace)
                        .setWanted(loan.mWanted);
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
        BorrowRequest loan = mPendingRequests.remove(number);
        if (loan != null) {
            mUnresponsiveUntilNanos.put(lender.name(), mClock.getAsLong() + UNRESPONSIVE_NANOS);
            askNextLender(loan);
        }
    }

    void onAnswer(String instance, TokenAnswer answer) {
        mUnresponsiveUntilNanos.remove(instance);
        BorrowRequest loan = mPendingRequests.remove(answer.getNumber());
        if (loan == null) {
            return;
        }
        if (answer.getGranted()) {
            TokenGrant grant = new TokenGrant(Math.max(1, answer.getTokens()), 0);
            mTraffic.execute(() -> loan.mCallback.accept(grant));
            return;
        }
        loan.onRefused(new TokenGrant(0, answer.getRetryAfterMillis()));
        askNextLender(loan);
    }

    void onQuestion(TokenQuestion question, InetSocketAddress sender) {
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
