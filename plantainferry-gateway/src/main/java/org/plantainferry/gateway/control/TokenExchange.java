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
    private static final int MOST_ASKED = 3;
    private static final long ANSWER_MILLIS = 25;
    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final EventLoop mLoop;
    private final String mInstance;
    private final TrafficServer mTraffic;
    private final PeerChannel mPeers;
    private final Random mRandom;
    private final Map<Long, Loan> mLoans = new HashMap<>();
    private final Map<String, Long> mSilentUntil = new HashMap<>();
    private final LongSupplier mClock;
    private Map<String, InstanceEntry> mOthers = Map.of();
    private long mNextNumber;

    /** Holds one wish for tokens. */
    private static final class Loan {
        private final String mWorkspace;
        private final List<InstanceEntry> mLeft;
        private final int mWanted;
        private final Consumer<TokenGrant> mCallback;
        private TokenGrant mBest = TokenGrant.NONE;

        Loan(
                String workspace,
                List<InstanceEntry> left,
                int wanted,
                Consumer<TokenGrant> callback) {
            mWorkspace = workspace;
            mLeft = left;
            mWanted = wanted;
            mCallback = callback;
        }

        /** Notes a refusal; the shortest known time to come back is the right one. */
        void onRefused(TokenGrant refusal) {
            boolean isSooner =
                    mBest.retryAfterMillis() == 0
                            || refusal.retryAfterMillis() < mBest.retryAfterMillis();
            if (refusal.retryAfterMillis() > 0 && isSooner) {
                mBest = refusal;
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
        mNextNumber = random.nextLong() >>> 1;
    }

    void onOthers(Map<String, InstanceEntry> others) {
        mOthers = others;
    }

    @Override
    public void borrow(
            String workspace, List<String> lenders, int wanted, Consumer<TokenGrant> callback) {
        mLoop.execute(() -> ask(new Loan(workspace, lenders(lenders), wanted, callback)));
    }

    /** Returns whom to ask; those that have not answered lately come last. */
    private List<InstanceEntry> lenders(List<String> named) {
        List<InstanceEntry> lenders = new ArrayList<>();
        if (named.isEmpty()) {
            lenders.addAll(mOthers.values());
            Collections.shuffle(lenders, mRandom);
            lenders = new ArrayList<>(lenders.subList(0, Math.min(MOST_ASKED, lenders.size())));
        } else {
            named.stream().map(mOthers::get).filter(Objects::nonNull).forEach(lenders::add);
        }
        lenders.sort(Comparator.comparing(this::isSilent));
        return lenders;
    }

    private boolean isSilent(InstanceEntry instance) {
        Long until = mSilentUntil.get(instance.name());
        return until != null && mClock.getAsLong() - until < 0;
    }

    private void ask(Loan loan) {
        if (loan.mLeft.isEmpty()) {
            mTraffic.execute(() -> loan.mCallback.accept(loan.mBest));
            return;
        }
        InstanceEntry lender = loan.mLeft.remove(0);
        mNextNumber++;
        long number = mNextNumber;
        mLoans.put(number, loan);
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
        mLoop.schedule(() -> onSilence(number, lender), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onSilence(long number, InstanceEntry lender) {
        Loan loan = mLoans.remove(number);
        if (loan != null) {
            mSilentUntil.put(lender.name(), mClock.getAsLong() + SILENT_NANOS);
            ask(loan);
        }
    }

    void onAnswer(String instance, TokenAnswer answer) {
        mSilentUntil.remove(instance);
        Loan loan = mLoans.remove(answer.getNumber());
        if (loan == null) {
            return;
        }
        if (answer.getGranted()) {
            TokenGrant grant = new TokenGrant(Math.max(1, answer.getTokens()), 0);
            mTraffic.execute(() -> loan.mCallback.accept(grant));
            return;
        }
        loan.onRefused(new TokenGrant(0, answer.getRetryAfterMillis()));
        ask(loan);
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
