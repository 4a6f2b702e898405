package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.TokenAnswer;
import org.plantainferry.gateway.peer.generated.TokenQuestion;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.TokenLender;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Borrows tokens from other instances, one instance after the other, and lends to them.
 *
 * <p>Used by the control thread only, except {@link #borrow}.
 */
final class TokenExchange implements TokenLender {
    private static final int MOST_ASKED = 3;
    private static final long ANSWER_MILLIS = 15;

    private final EventLoop mLoop;
    private final String mInstance;
    private final TrafficServer mTraffic;
    private final PeerChannel mPeers;
    private final Random mRandom;
    private final Map<Long, Loan> mLoans = new HashMap<>();
    private Map<String, InstanceEntry> mOthers = Map.of();
    private long mNextNumber;

    /** Holds one wish for a token. */
    private static final class Loan {
        private final String mWorkspace;
        private final List<InstanceEntry> mLeft;
        private final Consumer<Boolean> mCallback;

        Loan(String workspace, List<InstanceEntry> left, Consumer<Boolean> callback) {
            mWorkspace = workspace;
            mLeft = left;
            mCallback = callback;
        }
    }

    TokenExchange(
            EventLoop loop,
            String instance,
            TrafficServer traffic,
            PeerChannel peers,
            Random random) {
        mLoop = loop;
        mInstance = instance;
        mTraffic = traffic;
        mPeers = peers;
        mRandom = random;
        mNextNumber = random.nextLong() >>> 1;
    }

    void onOthers(Map<String, InstanceEntry> others) {
        mOthers = others;
    }

    @Override
    public void borrow(String workspace, Consumer<Boolean> callback) {
        mLoop.execute(() -> begin(workspace, callback));
    }

    private void begin(String workspace, Consumer<Boolean> callback) {
        List<InstanceEntry> others = new ArrayList<>(mOthers.values());
        Collections.shuffle(others, mRandom);
        int asked = Math.min(MOST_ASKED, others.size());
        ask(new Loan(workspace, new ArrayList<>(others.subList(0, asked)), callback));
    }

    private void ask(Loan loan) {
        if (loan.mLeft.isEmpty()) {
            mTraffic.run(() -> loan.mCallback.accept(false));
            return;
        }
        InstanceEntry lender = loan.mLeft.remove(0);
        mNextNumber++;
        long number = mNextNumber;
        mLoans.put(number, loan);
        TokenQuestion.Builder question =
                TokenQuestion.newBuilder().setNumber(number).setWorkspace(loan.mWorkspace);
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setTokenQuestion(question)
                        .build(),
                lender.peerAddress());
        mLoop.schedule(() -> onAnswer(number, false), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onAnswer(long number, boolean granted) {
        Loan loan = mLoans.remove(number);
        if (loan == null) {
            return;
        }
        if (granted) {
            mTraffic.run(() -> loan.mCallback.accept(true));
            return;
        }
        ask(loan);
    }

    void onAnswer(TokenAnswer answer) {
        onAnswer(answer.getNumber(), answer.getGranted());
    }

    void onQuestion(TokenQuestion question, InetSocketAddress sender) {
        mTraffic.lend(
                question.getWorkspace(),
                granted -> mLoop.execute(() -> reply(question.getNumber(), granted, sender)));
    }

    private void reply(long number, boolean granted, InetSocketAddress sender) {
        TokenAnswer.Builder answer = TokenAnswer.newBuilder().setNumber(number).setGranted(granted);
        mPeers.send(
                InstanceMessage.newBuilder().setInstance(mInstance).setTokenAnswer(answer).build(),
                sender);
    }
}
