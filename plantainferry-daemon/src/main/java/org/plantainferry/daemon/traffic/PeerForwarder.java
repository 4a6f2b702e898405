package org.plantainferry.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.engine.membership.Member;
import org.plantainferry.network.peer.PeerTransport;
import org.plantainferry.network.peer.generated.ForwardRequest;
import org.plantainferry.network.peer.generated.PeerMessage;

/**
 * Forwards requests over the links between instances.
 *
 * <p>A forwarded request is not repeated here; the instance that runs it repeats where that is
 * safe.
 *
 * @since 0.1
 */
public final class PeerForwarder implements RequestForwarder {
    // The peer answers at the deadline at the latest; this covers the way back.
    private static final long ANSWER_MARGIN_MILLIS = 100;
    private static final long RETRY_AFTER_MILLIS = 200;

    private final Supplier<PeerTransport> mPeers;
    private final ForwardCodec mCodec;
    private final LongSupplier mClock;

    /** Creates a forwarder. */
    public PeerForwarder(
            Supplier<PeerTransport> peers, SessionTokenCodec tokens, LongSupplier clock) {
        mPeers = peers;
        mCodec = new ForwardCodec(tokens);
        mClock = clock;
    }

    @Override
    public CompletableFuture<CallerAnswer> forward(Member instance, CallerRequest request) {
        long now = mClock.getAsLong();
        PeerMessage message =
                PeerMessage.newBuilder().setForwardRequest(mCodec.encode(request, now)).build();
        long remaining = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - now);
        return mPeers.get()
                .call(
                        instance.peerAddress(),
                        message,
                        Math.max(1, remaining) + ANSWER_MARGIN_MILLIS)
                .handle(PeerForwarder::toCallerAnswer);
    }

    private static CallerAnswer toCallerAnswer(PeerMessage answer, Throwable failure) {
        if (failure == null && answer.hasForwardAnswer()) {
            return ForwardCodec.decode(answer.getForwardAnswer());
        }
        Verdict sent = failure == null ? Verdict.MAY_HAVE_RUN : StatementSender.verdictOf(failure);
        return CallerAnswer.refusal(
                new PlantainferryException(
                        ErrorCode.PEER_UNAVAILABLE,
                        "the instance that holds the connections did not answer",
                        sent,
                        RETRY_AFTER_MILLIS,
                        failure));
    }

    /** Runs a request that another instance forwarded, and returns the answer message. */
    public CompletableFuture<PeerMessage> handle(
            ForwardRequest message, CallerAuthenticator authority, RequestRouter director) {
        CompletableFuture<CallerAnswer> answer;
        try {
            CallerRequest request = mCodec.decode(message, mClock.getAsLong());
            authority.verifyStillValid(request);
            answer = director.handleForwarded(request);
        } catch (PlantainferryException e) {
            answer = CompletableFuture.completedFuture(CallerAnswer.refusal(e));
        }
        return answer.thenApply(
                each ->
                        PeerMessage.newBuilder()
                                .setForwardAnswer(ForwardCodec.encode(each))
                                .build());
    }
}
