package org.plantainferry.gateway.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.engine.sessionstate.SessionState;
import org.plantainferry.gateway.peer.generated.PassedAnswer;
import org.plantainferry.gateway.peer.generated.PassedOperation;
import org.plantainferry.gateway.peer.generated.PassedPosition;
import org.plantainferry.gateway.peer.generated.PassedStep;
import org.plantainferry.gateway.peer.generated.PassedStepKind;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.Statement;

/** Converts operations and results to and from the messages between instances. */
final class PassingCodec {
    // The host ends a statement a little before the deadline, so that its answer, which knows
    // whether the statement has run, arrives in time.
    private static final long MAX_ANSWER_MARGIN_MILLIS = 20;
    private static final int ANSWER_MARGIN_DIVISOR = 10;

    private PassingCodec() {}

    /** Returns the message of an operation without its first statement. */
    static PassedOperation.Builder operation(OperationContext context, long nowNanos) {
        DatabaseRoute route = context.route();
        long timeout = route.statementTimeoutMillis();
        long margin = Math.min(MAX_ANSWER_MARGIN_MILLIS, timeout / ANSWER_MARGIN_DIVISOR);
        long elapsed = TimeUnit.NANOSECONDS.toMicros(nowNanos - context.startedNanos());
        PassedOperation.Builder operation =
                PassedOperation.newBuilder()
                        .setService(route.service())
                        .setDatabase(route.database())
                        .setGuarantee(route.guarantee().name())
                        .setMaximumAgeMillis(route.maximumAgeMillis())
                        .setStatementTimeoutMillis(timeout - margin)
                        .setLatencyObjectiveMillis(route.latencyObjectiveMillis())
                        .setElapsedMicros(Math.max(0, elapsed))
                        .setPriority(route.priority())
                        .setWorkspace(context.workspace());
        context.positions()
                .of(route.service())
                .ifPresent(position -> operation.setPosition(encode(position)));
        return operation;
    }

    /**
     * Returns the context in which a host runs an operation.
     *
     * @throws IllegalArgumentException if the message contains a value that this version does not
     *     know
     */
    static OperationContext context(PassedOperation operation, long nowNanos) {
        DatabaseRoute route =
                new DatabaseRoute(
                        operation.getDatabase(),
                        operation.getService(),
                        ReadGuarantee.valueOf(operation.getGuarantee()),
                        operation.getMaximumAgeMillis(),
                        operation.getStatementTimeoutMillis(),
                        operation.getLatencyObjectiveMillis(),
                        operation.getPriority(),
                        false);
        SessionPositions positions = new SessionPositions();
        if (operation.hasPosition()) {
            positions.record(operation.getService(), decode(operation.getPosition()));
        }
        long elapsedNanos = TimeUnit.MICROSECONDS.toNanos(operation.getElapsedMicros());
        return new OperationContext(
                operation.getWorkspace(),
                route,
                new SessionState(),
                positions,
                nowNanos - elapsedNanos);
    }

    /** Returns the message of a statement, with the session variables as they are now. */
    static PassedStep step(OperationContext context, String requestId, PreparedStatement prepared) {
        PassedStep.Builder step =
                PassedStep.newBuilder()
                        .setRequest(requestId)
                        .putAllVariables(context.sessionState().variables());
        Statement statement = prepared.statement();
        if (statement instanceof Statement.Read read) {
            step.setKind(PassedStepKind.PASSED_STEP_KIND_READ).setArguments(read.arguments());
        } else if (statement instanceof Statement.Write write) {
            step.setKind(PassedStepKind.PASSED_STEP_KIND_WRITE).setArguments(write.arguments());
        } else if (statement instanceof Statement.Execute execute) {
            PreparedStatementDefinition definition = prepared.definition().orElseThrow();
            step.setKind(PassedStepKind.PASSED_STEP_KIND_EXECUTE)
                    .setName(execute.name())
                    .setArguments(execute.arguments())
                    .setPreparedWrites(definition.writes())
                    .setPreparedText(definition.text());
        } else if (statement instanceof Statement.Commit) {
            step.setKind(PassedStepKind.PASSED_STEP_KIND_COMMIT);
        } else {
            throw new IllegalArgumentException("not passed on: " + statement);
        }
        return step.build();
    }

    /** Returns the statement of a message; empty if this version does not know its kind. */
    static Optional<PreparedStatement> statement(PassedStep step) {
        return switch (step.getKind()) {
            case PASSED_STEP_KIND_READ -> plain(new Statement.Read(step.getArguments()), false);
            case PASSED_STEP_KIND_WRITE -> plain(new Statement.Write(step.getArguments()), true);
            case PASSED_STEP_KIND_COMMIT -> plain(new Statement.Commit(), false);
            case PASSED_STEP_KIND_EXECUTE -> {
                boolean writes = step.getPreparedWrites();
                yield Optional.of(
                        new PreparedStatement(
                                new Statement.Execute(step.getName(), step.getArguments(), writes),
                                Optional.of(
                                        new PreparedStatementDefinition(
                                                writes, step.getPreparedText())),
                                writes));
            }
            default -> Optional.empty();
        };
    }

    private static Optional<PreparedStatement> plain(Statement statement, boolean writes) {
        return Optional.of(new PreparedStatement(statement, Optional.empty(), writes));
    }

    /** Applies the session variables of a statement to the session state at a host. */
    static void applyVariables(PassedStep step, SessionState state) {
        for (Map.Entry<String, String> variable : step.getVariablesMap().entrySet()) {
            state.set(variable.getKey(), variable.getValue());
        }
    }

    /**
     * Returns the message of a result.
     *
     * @param ended whether the operation has ended
     */
    static PassedAnswer answer(
            OperationResult result, Optional<LogPosition> position, boolean ended) {
        PassedAnswer.Builder answer = PassedAnswer.newBuilder().setEnded(ended);
        position.ifPresent(reached -> answer.setPosition(encode(reached)));
        if (result instanceof OperationResult.Done done) {
            return answer.setDone(true)
                    .addAllRows(done.rows())
                    .setSignature(done.signature())
                    .build();
        }
        OperationResult.Failed failed = (OperationResult.Failed) result;
        return answer.setCode(failed.code().name()).setReason(failed.reason()).build();
    }

    /**
     * Returns the result of a message.
     *
     * @param commits whether a failure leaves open if something was committed
     */
    static OperationResult result(PassedAnswer answer, boolean commits) {
        if (answer.getDone()) {
            return new OperationResult.Done(answer.getRowsList(), answer.getSignature());
        }
        FailureCode code;
        try {
            code = FailureCode.valueOf(answer.getCode());
        } catch (IllegalArgumentException e) {
            // A code of a later version promises nothing.
            code = commits ? FailureCode.OUTCOME_UNKNOWN : FailureCode.FAILED;
        }
        return new OperationResult.Failed(code, answer.getReason());
    }

    /** Returns the position that the session has reached; empty if it has committed nothing. */
    static Optional<LogPosition> position(PassedAnswer answer) {
        return answer.hasPosition() ? Optional.of(decode(answer.getPosition())) : Optional.empty();
    }

    private static PassedPosition encode(LogPosition position) {
        return PassedPosition.newBuilder()
                .setTerm(position.term())
                .setPosition(position.position())
                .build();
    }

    private static LogPosition decode(PassedPosition position) {
        return new LogPosition(position.getTerm(), position.getPosition());
    }
}
