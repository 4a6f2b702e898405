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
    private static final int ROUNDS_MAX = 3;

    private final EventLoop mLoop;
    private final ServerStateReader mStates;
    private final LongSupplier mClock;

    AcknowledgementCheck(EventLoop loop, ServerStateReader states, LongSupplier clock) {
        mLoop = loop;
        mStates = states;
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
        private long mAskedNanos;
        private int mAnswers;
        private boolean mEnded;

        Round(Service service, long term, Consumer<Boolean> decision, int number) {
            mService = service;
            mTerm = term;
            mDecision = decision;
            mNumber = number;
        }

        void start() {
            mAskedNanos = mClock.getAsLong();
            for (TargetServer server : mService.servers()) {
                mStates.read(server.address(), STATE_TIMEOUT_MILLIS)
                        .whenCompleteAsync((state, failure) -> answered(server, state), mLoop);
            }
        }

        private void answered(TargetServer server, ServerState state) {
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
                            mAskedNanos,
                            mClock.getAsLong());
            switch (confirmation) {
                case PASS -> end(true);
                case UNKNOWN -> end(false);
                case REPEAT -> repeat();
                default -> {
                    if (mAnswers == mService.servers().size()) {
                        repeat();
                    }
                }
            }
        }

        private void repeat() {
            if (mNumber >= ROUNDS_MAX) {
                end(false);
                return;
            }
            mEnded = true;
            new Round(mService, mTerm, mDecision, mNumber + 1).start();
        }

        private void end(boolean pass) {
            mEnded = true;
            mDecision.accept(pass);
        }
    }
}
