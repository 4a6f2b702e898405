package org.plantainferry.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.StatementKind;
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
    private static final long MARGIN_MILLIS = 100;
    private static final long RETRY_MILLIS = 200;

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
                PeerMessage.newBuilder().setForwardRequest(mCodec.write(request, now)).build();
        long remaining = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - now);
        return mPeers.get()
                .call(instance.peerAddress(), message, Math.max(1, remaining) + MARGIN_MILLIS)
                .handle((answer, failure) -> answer(request, answer, failure));
    }

    private static CallerAnswer answer(
            CallerRequest request, PeerMessage answer, Throwable failure) {
        if (failure == null && answer.hasForwardAnswer()) {
            return ForwardCodec.read(answer.getForwardAnswer());
        }
        Verdict sent = failure == null ? Verdict.MAY_HAVE_RUN : StatementSender.verdictOf(failure);
        return CallerAnswer.refusal(
                new PlantainferryException(
                        ErrorCode.PEER_UNAVAILABLE,
                        "the instance that holds the connections did not answer",
                        verdict(request, sent),
                        RETRY_MILLIS,
                        failure));
    }

    /** Only a single write and a commit can have had an effect that lasts. */
    private static Verdict verdict(CallerRequest request, Verdict sent) {
        boolean isLasting =
                request.operation() == Operation.COMMIT
                        || (request.operation() == Operation.STATEMENT
                                && request.kind() == StatementKind.WRITE);
        return isLasting ? sent : Verdict.NOT_RUN;
    }

    /** Runs a request that another instance forwarded, and returns the answer message. */
    public CompletableFuture<PeerMessage> onRequest(
            ForwardRequest message, CallerAuthority authority, TrafficDirector director) {
        CompletableFuture<CallerAnswer> answer;
        try {
            CallerRequest request = mCodec.read(message, mClock.getAsLong());
            authority.verifyStillValid(request);
            answer = director.handleForwarded(request);
        } catch (PlantainferryException e) {
            answer = CompletableFuture.completedFuture(CallerAnswer.refusal(e));
        }
        return answer.thenApply(
                each ->
                        PeerMessage.newBuilder()
                                .setForwardAnswer(ForwardCodec.write(each))
                                .build());
    }
}
