package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.promotion.ReachabilityVote;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.ReachabilityAnswer;
import org.plantainferry.gateway.peer.generated.ReachabilityQuestion;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.statement.Statement;
import org.plantainferry.gateway.traffic.ServerProbe;

/**
 * Asks other instances whether they can reach a server, and answers the same question of others.
 *
 * <p>Used by the control thread only.
 */
final class ReachabilityPoll {
    private static final int MAX_POLLED_INSTANCES = 24;
    private static final long ANSWER_TIMEOUT_MILLIS = 550;
    private static final long PROBE_TIMEOUT_MILLIS = 400;

    private final EventLoop mLoop;
    private final String mInstance;
    private final PeerChannel mPeers;
    private final ServerProbe mProbe;
    private final Random mRandom;
    private final Map<Long, Poll> mPolls = new HashMap<>();
    // Empty until the list of instances is complete.
    private Optional<Map<String, InstanceEntry>> mOtherInstances = Optional.empty();
    private long mLastPollNumber;

    private static final class Poll {
        private final ReachabilityVote mVote;
        private Optional<InstanceEntry> mReachedBy = Optional.empty();
        private final BiConsumer<ReachabilityVote.Verdict, Optional<InstanceEntry>> mCallback;

        Poll(
                ReachabilityVote vote,
                BiConsumer<ReachabilityVote.Verdict, Optional<InstanceEntry>> callback) {
            mVote = vote;
            mCallback = callback;
        }
    }

    ReachabilityPoll(
            EventLoop loop, String instance, PeerChannel peers, ServerProbe probe, Random random) {
        mLoop = loop;
        mInstance = instance;
        mPeers = peers;
        mProbe = probe;
        mRandom = random;
        mLastPollNumber = random.nextLong() >>> 1;
    }

    void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        mOtherInstances = Optional.of(otherInstances);
    }

    /**
     * Asks other instances, at most {@link #MAX_POLLED_INSTANCES} at random.
     *
     * <p>Until the list of instances is complete, there may be others that reach the server, so no
     * verdict is reached.
     *
     * @param callback runs once; receives the verdict and an instance that reaches the server, if
     *     any
     */
    void ask(
            String server, BiConsumer<ReachabilityVote.Verdict, Optional<InstanceEntry>> callback) {
        if (mOtherInstances.isEmpty()) {
            callback.accept(ReachabilityVote.Verdict.UNKNOWN, Optional.empty());
            return;
        }
        List<InstanceEntry> asked = new ArrayList<>(mOtherInstances.get().values());
        Collections.shuffle(asked, mRandom);
        if (asked.size() > MAX_POLLED_INSTANCES) {
            asked = asked.subList(0, MAX_POLLED_INSTANCES);
        }
        mLastPollNumber++;
        long number = mLastPollNumber;
        mPolls.put(number, new Poll(new ReachabilityVote(asked.size()), callback));
        InstanceMessage question =
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setReachabilityQuestion(
                                ReachabilityQuestion.newBuilder()
                                        .setNumber(number)
                                        .setServer(server))
                        .build();
        asked.forEach(instance -> mPeers.send(question, instance.peerAddress()));
        mLoop.schedule(() -> end(number), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void end(long number) {
        Poll poll = mPolls.remove(number);
        if (poll != null) {
            poll.mCallback.accept(poll.mVote.verdict(), poll.mReachedBy);
        }
    }

    void onAnswer(String instance, ReachabilityAnswer answer) {
        Poll poll = mPolls.get(answer.getNumber());
        if (poll == null) {
            return;
        }
        poll.mVote.onAnswer(instance, answer.getReached());
        if (answer.getReached()) {
            poll.mReachedBy = mOtherInstances.map(others -> others.get(instance));
        }
        if (poll.mVote.isDecided()) {
            end(answer.getNumber());
        }
    }

    /** Probes the server and sends the result to the asking instance. */
    void onQuestion(ReachabilityQuestion question, CatalogServer server, InetSocketAddress sender) {
        mProbe.send(server, new Statement.Status(), PROBE_TIMEOUT_MILLIS)
                .thenAccept(answer -> mLoop.execute(() -> reply(question, answer.alive(), sender)));
    }

    private void reply(ReachabilityQuestion question, boolean reached, InetSocketAddress sender) {
        mPeers.send(
                InstanceMessage.newBuilder()
                        .setInstance(mInstance)
                        .setReachabilityAnswer(
                                ReachabilityAnswer.newBuilder()
                                        .setNumber(question.getNumber())
                                        .setServer(question.getServer())
                                        .setReached(reached))
                        .build(),
                sender);
    }
}
