package org.plantainferry.daemon.traffic;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.engine.drain.DrainView;
import org.plantainferry.engine.limit.Acquisition;
import org.plantainferry.engine.limit.WorkspaceTokenBucket;
import org.plantainferry.engine.membership.Member;

/**
 * Checks each request against the drain and the rate limit, and routes it.
 *
 * <p>A request runs at the dispatcher of its service on this instance, or is forwarded to the
 * instance that holds its transaction or to a gateway, an instance with connections to its service.
 *
 * @since 0.1
 */
public final class RequestRouter implements RequestHandler {
    private static final long DRAIN_RETRY_AFTER_MILLIS = 100;
    private static final long NO_RATE_RETRY_AFTER_MILLIS = 500;

    /** A grant usually arrives after one round trip between instances, which takes milliseconds. */
    private static final long GRANT_POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

    private final InstanceId mSelf;
    private final Supplier<TrafficSnapshot> mSnapshot;
    private final ServiceDispatcherRegistry mDispatchers;
    private final TokenBucketProvider mTokenBuckets;
    private final RequestForwarder mForwarder;
    private final EventLoopGroup mEventLoops;
    private final LongSupplier mClock;

    /** Creates a router for the requests that arrive at an instance. */
    public RequestRouter(
            InstanceId self,
            Supplier<TrafficSnapshot> snapshot,
            ServiceDispatcherRegistry dispatchers,
            TokenBucketProvider tokenBuckets,
            RequestForwarder forwarder,
            EventLoopGroup eventLoops,
            LongSupplier clock) {
        mSelf = self;
        mSnapshot = snapshot;
        mDispatchers = dispatchers;
        mTokenBuckets = tokenBuckets;
        mForwarder = forwarder;
        mEventLoops = eventLoops;
        mClock = clock;
    }

    @Override
    public CompletableFuture<CallerAnswer> handle(CallerRequest request) {
        Optional<PlantainferryException> refusal = drainRefusal(request);
        if (refusal.isPresent()) {
            return CompletableFuture.completedFuture(CallerAnswer.refusal(refusal.get()));
        }
        if (isExemptFromRate(request)) {
            return route(request);
        }
        Optional<WorkspaceTokenBucket> tokenBucket = mTokenBuckets.bucket(request.workspace());
        if (tokenBucket.isEmpty()) {
            return refused(
                    ErrorCode.RATE_EXCEEDED,
                    "the workspace has no rate here yet",
                    NO_RATE_RETRY_AFTER_MILLIS);
        }
        CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
        Acquisition first = tokenBucket.get().tryAcquire(mClock.getAsLong());
        long giveUpNanos = mClock.getAsLong() + tokenBucket.get().maximumWaitNanos();
        new TokenWait(request, tokenBucket.get(), giveUpNanos, mEventLoops.next(), answer)
                .onAcquisition(first);
        return answer;
    }

    /**
     * Handles a request that another instance has authenticated and charged to the rate limit.
     *
     * <p>A request that some instance has accepted is finished even while this instance drains.
     */
    public CompletableFuture<CallerAnswer> handleForwarded(CallerRequest request) {
        return request.operation().isInsideTransaction()
                ? runInTransaction(request)
                : runLocally(request);
    }

    /** Returns whether a request ends a transaction, which the rate limit must not prevent. */
    private static boolean isExemptFromRate(CallerRequest request) {
        return request.operation() == Operation.COMMIT || request.operation() == Operation.ROLLBACK;
    }

    private Optional<PlantainferryException> drainRefusal(CallerRequest request) {
        DrainView drain = mSnapshot.get().drain();
        boolean isAccepted =
                switch (request.operation()) {
                    case STATEMENT -> drain.acceptsRequests();
                    case BEGIN -> drain.acceptsTransactions();
                    default -> drain.continuesTransactions();
                };
        if (isAccepted) {
            return Optional.empty();
        }
        return Optional.of(
                new PlantainferryException(
                        ErrorCode.DRAINING,
                        "the instance shuts down; use another one",
                        Verdict.NOT_RUN,
                        DRAIN_RETRY_AFTER_MILLIS,
                        null));
    }

    /** Polls the token bucket for a request until it gets a token or has waited too long. */
    private final class TokenWait {
        private final CallerRequest mRequest;
        private final WorkspaceTokenBucket mTokenBucket;
        private final long mGiveUpNanos;
        private final EventLoop mEventLoop;
        private final CompletableFuture<CallerAnswer> mAnswer;

        TokenWait(
                CallerRequest request,
                WorkspaceTokenBucket tokenBucket,
                long giveUpNanos,
                EventLoop eventLoop,
                CompletableFuture<CallerAnswer> answer) {
            mRequest = request;
            mTokenBucket = tokenBucket;
            mGiveUpNanos = giveUpNanos;
            mEventLoop = eventLoop;
            mAnswer = answer;
        }

        void onAcquisition(Acquisition acquisition) {
            if (acquisition instanceof Acquisition.Granted) {
                route(mRequest).thenAccept(mAnswer::complete);
                return;
            }
            if (acquisition instanceof Acquisition.Refused refused) {
                refuse(refused.retryAfterMillis());
                return;
            }
            long remainingNanos = mGiveUpNanos - mClock.getAsLong();
            if (remainingNanos <= 0) {
                refuse(NO_RATE_RETRY_AFTER_MILLIS);
                return;
            }
            mTokenBuckets.requestGrant();
            long waitNanos =
                    Math.min(GRANT_POLL_INTERVAL_NANOS, ((Acquisition.Wait) acquisition).nanos());
            mEventLoop.schedule(
                    () -> onAcquisition(mTokenBucket.retryAcquire(mClock.getAsLong())),
                    Math.min(waitNanos, remainingNanos),
                    TimeUnit.NANOSECONDS);
        }

        private void refuse(long retryAfterMillis) {
            mAnswer.complete(
                    CallerAnswer.refusal(
                            new PlantainferryException(
                                    ErrorCode.RATE_EXCEEDED,
                                    "the rate and burst of workspace "
                                            + mRequest.workspace()
                                            + " are used up",
                                    Verdict.NOT_RUN,
                                    retryAfterMillis,
                                    null)));
        }
    }

    private CompletableFuture<CallerAnswer> route(CallerRequest request) {
        if (request.operation().isInsideTransaction()) {
            return runInTransaction(request);
        }
        return runAtGateway(request);
    }

    private CompletableFuture<CallerAnswer> runAtGateway(CallerRequest request) {
        TrafficSnapshot snapshot = mSnapshot.get();
        List<InstanceId> gateways = snapshot.gateways().getOrDefault(request.service(), List.of());
        if (gateways.isEmpty() || gateways.contains(mSelf)) {
            return runLocally(request);
        }
        // The clock spreads the requests over the gateways without shared state.
        int start = Math.floorMod(mSelf.hashCode() + (int) mClock.getAsLong(), gateways.size());
        for (int offset = 0; offset < gateways.size(); offset++) {
            InstanceId gateway = gateways.get((start + offset) % gateways.size());
            Optional<Member> member = snapshot.members().member(gateway);
            if (member.isPresent()) {
                return mForwarder.forward(member.get(), request);
            }
        }
        return runLocally(request);
    }

    private CompletableFuture<CallerAnswer> runInTransaction(CallerRequest request) {
        String id = request.transaction().orElse("");
        Optional<InstanceId> holder = TransactionRegistry.holdingInstance(id);
        if (holder.isEmpty()) {
            return refused(ErrorCode.NOT_FOUND, "no such transaction", 0);
        }
        if (holder.get().equals(mSelf)) {
            return runInLocalTransaction(request, id);
        }
        Optional<Member> member = mSnapshot.get().members().member(holder.get());
        if (member.isEmpty()) {
            return answerAfterTransactionEnd(request);
        }
        return mForwarder.forward(member.get(), request);
    }

    /**
     * Answers a request of a transaction that is no longer open.
     *
     * <p>A commit may have run. With an idempotency key it is sent to the primary again, which
     * returns the answer of the first attempt.
     */
    private CompletableFuture<CallerAnswer> answerAfterTransactionEnd(CallerRequest request) {
        boolean isCommit = request.operation() == Operation.COMMIT;
        if (isCommit && request.idempotencyKey().isPresent()) {
            return runAtGateway(request);
        }
        PlantainferryException error =
                new PlantainferryException(
                        ErrorCode.TRANSACTION_LOST,
                        "the transaction is not open",
                        isCommit ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
                        0,
                        null);
        return CompletableFuture.completedFuture(CallerAnswer.refusal(error));
    }

    private CompletableFuture<CallerAnswer> runInLocalTransaction(
            CallerRequest request, String id) {
        Optional<PinnedTransaction> found =
                mDispatchers
                        .transactions()
                        .find(id)
                        .filter(transaction -> transaction.belongsTo(request));
        if (found.isEmpty()) {
            return answerAfterTransactionEnd(request);
        }
        return startPending(
                request,
                pending -> {
                    PinnedTransaction transaction = found.get();
                    transaction
                            .dispatcher()
                            .eventLoop()
                            .execute(() -> transaction.execute(pending));
                });
    }

    private CompletableFuture<CallerAnswer> runLocally(CallerRequest request) {
        Optional<ServiceDispatcher> dispatcher = mDispatchers.dispatcher(request.service());
        if (dispatcher.isEmpty()) {
            return refused(ErrorCode.NOT_FOUND, "no such service", 0);
        }
        return startPending(
                request,
                pending ->
                        dispatcher
                                .get()
                                .eventLoop()
                                .execute(() -> dispatcher.get().submit(pending)));
    }

    private static CompletableFuture<CallerAnswer> startPending(
            CallerRequest request, Consumer<PendingRequest> start) {
        PendingRequest pending;
        try {
            pending = new PendingRequest(request);
        } catch (PlantainferryException e) {
            return CompletableFuture.completedFuture(CallerAnswer.refusal(e));
        }
        start.accept(pending);
        return pending.answer();
    }

    private static CompletableFuture<CallerAnswer> refused(
            ErrorCode code, String message, long retryAfterMillis) {
        return CompletableFuture.completedFuture(
                CallerAnswer.refusal(
                        new PlantainferryException(
                                code, message, Verdict.NOT_RUN, retryAfterMillis, null)));
    }
}
