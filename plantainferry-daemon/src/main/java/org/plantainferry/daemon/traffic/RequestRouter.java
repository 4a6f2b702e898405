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
 * Leads each request through drain, limits and routing to a lane, or to the instance that holds its
 * transaction or the connections to its service.
 *
 * @since 0.1
 */
public final class RequestRouter implements RequestHandler {
    private static final long DRAIN_RETRY_AFTER_MILLIS = 100;
    private static final long NO_RATE_RETRY_AFTER_MILLIS = 500;

    /** A grant usually arrives after one round trip between instances, a few milliseconds. */
    private static final long GRANT_POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

    private final InstanceId mSelf;
    private final Supplier<TrafficSnapshot> mSnapshot;
    private final ServiceDispatcherRegistry mDispatchers;
    private final TokenBucketProvider mTokenBuckets;
    private final RequestForwarder mForwarder;
    private final EventLoopGroup mEventLoops;
    private final LongSupplier mClock;

    /** Creates a director. */
    public RequestRouter(
            InstanceId self,
            Supplier<TrafficSnapshot> snapshot,
            ServiceDispatcherRegistry lanes,
            TokenBucketProvider rates,
            RequestForwarder forwarder,
            EventLoopGroup group,
            LongSupplier clock) {
        mSelf = self;
        mSnapshot = snapshot;
        mDispatchers = lanes;
        mTokenBuckets = rates;
        mForwarder = forwarder;
        mEventLoops = group;
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
        Optional<WorkspaceTokenBucket> bucket = mTokenBuckets.bucket(request.workspace());
        if (bucket.isEmpty()) {
            return refused(
                    ErrorCode.RATE_EXCEEDED,
                    "the workspace has no rate here yet",
                    NO_RATE_RETRY_AFTER_MILLIS);
        }
        CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
        Acquisition first = bucket.get().tryAcquire(mClock.getAsLong());
        long giveUpNanos = mClock.getAsLong() + bucket.get().maximumWaitNanos();
        new TokenWait(request, bucket.get(), giveUpNanos, mEventLoops.next(), answer)
                .onAcquisition(first);
        return answer;
    }

    /**
     * Handles a request that another instance has authenticated and counted against the rate.
     *
     * <p>Work that is already inside the fleet is finished even while this instance drains.
     */
    public CompletableFuture<CallerAnswer> handleForwarded(CallerRequest request) {
        return request.operation().isInsideTransaction()
                ? runInTransaction(request)
                : runLocally(request);
    }

    /** Ending a transaction is not charged, so that a limit never keeps one open. */
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

    /** Follows a request that waits for a token. */
    private final class TokenWait {
        private final CallerRequest mRequest;
        private final WorkspaceTokenBucket mTokenBucket;
        private final long mGiveUpNanos;
        private final EventLoop mEventLoop;
        private final CompletableFuture<CallerAnswer> mAnswer;

        TokenWait(
                CallerRequest request,
                WorkspaceTokenBucket bucket,
                long giveUpNanos,
                EventLoop loop,
                CompletableFuture<CallerAnswer> answer) {
            mRequest = request;
            mTokenBucket = bucket;
            mGiveUpNanos = giveUpNanos;
            mEventLoop = loop;
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
            long left = mGiveUpNanos - mClock.getAsLong();
            if (left <= 0) {
                refuse(NO_RATE_RETRY_AFTER_MILLIS);
                return;
            }
            mTokenBuckets.requestGrant();
            long wait =
                    Math.min(GRANT_POLL_INTERVAL_NANOS, ((Acquisition.Wait) acquisition).nanos());
            mEventLoop.schedule(
                    () -> onAcquisition(mTokenBucket.retryAcquire(mClock.getAsLong())),
                    Math.min(wait, left),
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
        // Spreads the requests of an instance over the gateways without shared state.
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
     * Answers a request of a transaction that is not open any more.
     *
     * <p>A commit may have run; with an idempotency key the primary is asked for its answer.
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
                mDispatchers.transactions().find(id).filter(each -> each.belongsTo(request));
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
        Optional<ServiceDispatcher> lane = mDispatchers.dispatcher(request.service());
        if (lane.isEmpty()) {
            return refused(ErrorCode.NOT_FOUND, "no such service", 0);
        }
        return startPending(
                request,
                pending -> lane.get().eventLoop().execute(() -> lane.get().submit(pending)));
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
