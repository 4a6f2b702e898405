package org.plantainferry.gateway.traffic;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.gateway.passing.AcceptedLink;
import org.plantainferry.gateway.passing.OperationHost;
import org.plantainferry.gateway.peer.generated.PassedAnswer;
import org.plantainferry.gateway.peer.generated.PassedOperation;
import org.plantainferry.gateway.peer.generated.PassedStep;
import org.plantainferry.gateway.statement.FailureCode;

/**
 * Runs the operations that other instances pass to this one, on its own connections.
 *
 * <p>An operation is refused, so that the other instance runs it, when this instance is about to
 * exit or cannot reach what the operation needs. Operations are never passed on. Not thread-safe:
 * used by the traffic thread only.
 */
final class HostedOperations implements OperationHost {
    private static final String SHUT_DOWN = "the instance shuts down";

    private final TrafficContext mTraffic;
    private final LocalRunner mRunner;
    private final Map<AcceptedLink, Map<Long, HostedOperation>> mByLink = new HashMap<>();
    private boolean mLeaving;

    HostedOperations(TrafficContext traffic) {
        mTraffic = traffic;
        mRunner = new LocalRunner(traffic.broker());
    }

    @Override
    public void onLinkOpened(AcceptedLink link) {
        mByLink.put(link, new LinkedHashMap<>());
        if (mLeaving) {
            link.sayFarewell();
        }
    }

    @Override
    public void onStart(AcceptedLink link, long number, PassedOperation start) {
        Optional<PreparedStatement> statement = PassingCodec.statement(start.getStep());
        Optional<OperationContext> context = decode(start);
        if (statement.isEmpty() || context.isEmpty()) {
            link.refuse(number, "the operation is unknown");
            return;
        }
        boolean isAtPrimary = isAtPrimary(start, statement.get(), context.get());
        Optional<String> refusal = refusal(context.get().route().service(), isAtPrimary);
        if (refusal.isPresent()) {
            link.refuse(number, refusal.get());
            return;
        }
        mTraffic.metrics().onOperationReceived();
        HostedOperation operation = new HostedOperation(link, number, context.get());
        mByLink.get(link).put(number, operation);
        PassingCodec.applyVariables(start.getStep(), context.get().sessionState());
        String request = start.getStep().getRequest();
        if (start.getTransaction()) {
            operation.begin(mRunner, start.getReadOnly());
            operation.runInTransaction(
                    request, statement.get(), result -> onResult(operation, result));
        } else {
            operation.runSingle(
                    mRunner, request, statement.get(), result -> onResult(operation, result));
        }
    }

    private Optional<OperationContext> decode(PassedOperation start) {
        try {
            return Optional.of(PassingCodec.context(start, mTraffic.broker().now()));
        } catch (IllegalArgumentException | PlantainferryException e) {
            // A value of a later version.
            return Optional.empty();
        }
    }

    private static boolean isAtPrimary(
            PassedOperation start, PreparedStatement statement, OperationContext context) {
        boolean changes = start.getTransaction() ? !start.getReadOnly() : statement.writes();
        return changes || context.route().guarantee() == ReadGuarantee.PRIMARY;
    }

    /** Returns why this instance cannot run an operation, if so. */
    private Optional<String> refusal(String service, boolean isAtPrimary) {
        if (mLeaving) {
            return Optional.of(SHUT_DOWN);
        }
        if (mTraffic.broker().group(service).pools().isEmpty()) {
            return Optional.of("the host knows no server of the service");
        }
        return isAtPrimary && !mTraffic.broker().holdsPrimaryLease(service)
                ? Optional.of("the host may not use the primary")
                : Optional.empty();
    }

    @Override
    public void onStep(AcceptedLink link, long number, PassedStep step) {
        HostedOperation operation = mByLink.get(link).get(number);
        if (operation == null || !operation.isTransaction() || operation.isRunning()) {
            // The transaction was rolled back, and its end is on its way to the other instance.
            link.answer(number, aborted("the transaction has ended"));
            return;
        }
        Optional<PreparedStatement> statement = PassingCodec.statement(step);
        if (statement.isEmpty()) {
            onEnd(link, number, "the statement is unknown");
            link.answer(number, aborted("the host does not know the statement"));
            return;
        }
        PassingCodec.applyVariables(step, operation.context().sessionState());
        operation.runInTransaction(
                step.getRequest(), statement.get(), result -> onResult(operation, result));
    }

    private static PassedAnswer aborted(String reason) {
        return PassingCodec.answer(
                new OperationResult.Failed(FailureCode.ABORTED, reason), Optional.empty(), true);
    }

    private void onResult(HostedOperation operation, OperationResult result) {
        Map<Long, HostedOperation> operations = mByLink.get(operation.link());
        if (operations == null || operations.get(operation.number()) != operation) {
            // The other instance waits for no answer.
            return;
        }
        operation.link().answer(operation.number(), answer(operation, result));
        if (operation.isEnded()) {
            operations.remove(operation.number());
        } else if (mTraffic.hasReached(DrainStage.ENDING_OPERATIONS)) {
            endTransaction(operation);
        }
    }

    private static PassedAnswer answer(HostedOperation operation, OperationResult result) {
        OperationContext context = operation.context();
        PassedAnswer answer =
                PassingCodec.answer(
                        result,
                        context.positions().of(context.route().service()),
                        operation.isEnded());
        if (AcceptedLink.fits(answer)) {
            return answer;
        }
        operation.stop();
        FailureCode code = operation.isTransaction() ? FailureCode.ABORTED : FailureCode.FAILED;
        return PassingCodec.answer(
                new OperationResult.Failed(code, "the answer is too long"), Optional.empty(), true);
    }

    private void endTransaction(HostedOperation operation) {
        mByLink.get(operation.link()).remove(operation.number());
        operation.stop();
        operation.link().refuse(operation.number(), SHUT_DOWN);
    }

    @Override
    public void onEnd(AcceptedLink link, long number, String reason) {
        HostedOperation operation = mByLink.get(link).remove(number);
        if (operation != null) {
            operation.stop();
        }
    }

    @Override
    public void onLinkEnded(AcceptedLink link) {
        mByLink.remove(link).values().forEach(HostedOperation::stop);
    }

    /** Refuses new operations from now on, and tells the other instances. */
    void leave() {
        if (!mLeaving) {
            mLeaving = true;
            mByLink.keySet().forEach(AcceptedLink::sayFarewell);
        }
    }

    /** Rolls back each transaction that has no statement in progress. */
    void endTransactions() {
        for (HostedOperation operation : operations()) {
            if (operation.isTransaction() && !operation.isRunning()) {
                endTransaction(operation);
            }
        }
    }

    /** Gives each statement in progress its final answer. */
    void endStatements() {
        for (HostedOperation operation : operations()) {
            if (operation.isRunning()) {
                operation.abandon(SHUT_DOWN);
            }
        }
    }

    private List<HostedOperation> operations() {
        return mByLink.values().stream()
                .flatMap(operations -> operations.values().stream())
                .toList();
    }

    /** Returns the number of operations in progress, and of links with unsent answers. */
    int count() {
        long unsent = mByLink.keySet().stream().filter(AcceptedLink::hasUnwrittenMessages).count();
        return operations().size() + (int) unsent;
    }

    /** Closes all links. */
    void close() {
        List.copyOf(mByLink.keySet()).forEach(AcceptedLink::close);
    }
}
