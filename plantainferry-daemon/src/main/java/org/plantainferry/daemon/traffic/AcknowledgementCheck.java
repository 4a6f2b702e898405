package org.plantainferry.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.engine.replacement.AcknowledgementWindow;
import org.plantainferry.network.target.ServerState;

/**
 * Decides whether the acknowledgement of a write may still be passed on.
 *
 * <p>A replacement waits the acknowledgement window out before it promotes. An acknowledgement that
 * is older than the window needs a majority's word that the term has not ended.
 */
final class AcknowledgementCheck {
    private static final long STATE_TIMEOUT_MILLIS = AcknowledgementWindow.WINDOW_MILLIS;
    private static final int MAX_ROUNDS = 3;

    private final EventLoop mEventLoop;
    private final ServerStateReader mStateReader;
    private final LongSupplier mClock;

    AcknowledgementCheck(EventLoop loop, ServerStateReader states, LongSupplier clock) {
        mEventLoop = loop;
        mStateReader = states;
        mClock = clock;
    }

    /**
     * Decides on a write that the primary of a term has confirmed.
     *
     * @param sentNanos when the statement was sent
     * @param decision receives true when the acknowledgement may be passed on at that moment
     */
    void decide(Service service, long term, long sentNanos, Consumer<Boolean> decision) {
        if (AcknowledgementWindow.decide(sentNanos, mClock.getAsLong())
                == AcknowledgementWindow.Decision.PASS) {
            decision.accept(true);
            return;
        }
        new Round(service, term, decision, 1).start();
    }

    /** Asks all servers once. */
    private final class Round {
        private final Service mService;
        private final long mTerm;
        private final Consumer<Boolean> mDecision;
        private final int mNumber;
        private final Map<ServerId, Long> mTerms = new HashMap<>();
        private long mStartedNanos;
        private int mAnswers;
        private boolean mEnded;

        Round(Service service, long term, Consumer<Boolean> decision, int number) {
            mService = service;
            mTerm = term;
            mDecision = decision;
            mNumber = number;
        }

        void start() {
            mStartedNanos = mClock.getAsLong();
            for (TargetServer server : mService.servers()) {
                mStateReader
                        .read(server.address(), STATE_TIMEOUT_MILLIS)
                        .whenCompleteAsync((state, failure) -> onState(server, state), mEventLoop);
            }
        }

        private void onState(TargetServer server, ServerState state) {
            mAnswers++;
            if (mEnded) {
                return;
            }
            if (state != null) {
                mTerms.put(server.id(), state.term());
            }
            AcknowledgementWindow.Confirmation confirmation =
                    AcknowledgementWindow.confirm(
                            mTerm,
                            mTerms.values(),
                            mService.servers().size(),
                            mStartedNanos,
                            mClock.getAsLong());
            switch (confirmation) {
                case PASS -> finish(true);
                case UNKNOWN -> finish(false);
                case REPEAT -> startNextRound();
                default -> {
                    if (mAnswers == mService.servers().size()) {
                        startNextRound();
                    }
                }
            }
        }

        private void startNextRound() {
            if (mNumber >= MAX_ROUNDS) {
                finish(false);
                return;
            }
            mEnded = true;
            new Round(mService, mTerm, mDecision, mNumber + 1).start();
        }

        private void finish(boolean pass) {
            mEnded = true;
            mDecision.accept(pass);
        }
    }
}
