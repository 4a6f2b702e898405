package org.plantainferry.daemon.traffic;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.network.peer.generated.ForwardAnswer;
import org.plantainferry.network.peer.generated.ForwardRequest;

/**
 * Converts callers' requests to messages between instances and back; keys never travel.
 *
 * <p>The deadline travels as the remaining time, which does not depend on clocks.
 */
final class ForwardCodec {
    private final SessionTokenCodec mTokens;

    ForwardCodec(SessionTokenCodec tokens) {
        mTokens = tokens;
    }

    ForwardRequest encode(CallerRequest request, long nowNanos) {
        long remaining = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos);
        return ForwardRequest.newBuilder()
                .setWorkspace(request.workspace().value())
                .setKeyId(request.keyId().orElse(""))
                .setService(request.service().value())
                .setOperation(request.operation().wireName())
                .setTransaction(request.transaction().orElse(""))
                .setStatement(request.statement())
                .setWrite(request.kind() == StatementKind.WRITE)
                .setSession(request.session().map(mTokens::encode).orElse(""))
                .setIdempotencyKey(request.idempotencyKey().orElse(""))
                .setRemainingMillis(Math.max(0, remaining))
                .setHasMaximumAge(request.maximumAgeMillis().isPresent())
                .setMaximumAgeMillis(request.maximumAgeMillis().orElse(0L))
                .build();
    }

    CallerRequest decode(ForwardRequest message, long nowNanos) {
        return new CallerRequest(
                new WorkspaceName(message.getWorkspace()),
                optionalText(message.getKeyId()),
                new ServiceName(message.getService()),
                operation(message.getOperation()),
                optionalText(message.getTransaction()),
                message.getStatement(),
                message.getWrite() ? StatementKind.WRITE : StatementKind.READ,
                optionalText(message.getSession()).map(mTokens::decode),
                optionalText(message.getIdempotencyKey()),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(message.getRemainingMillis()),
                message.getHasMaximumAge()
                        ? Optional.of(message.getMaximumAgeMillis())
                        : Optional.empty());
    }

    private static Optional<String> optionalText(String value) {
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }

    private static Operation operation(String wireName) {
        for (Operation operation : Operation.values()) {
            if (operation.wireName().equals(wireName)) {
                return operation;
            }
        }
        throw new PlantainferryException(ErrorCode.REQUEST_MALFORMED, "unknown operation");
    }

    static ForwardAnswer encode(CallerAnswer answer) {
        return ForwardAnswer.newBuilder()
                .setStatus(answer.status())
                .setVerdict(answer.verdict().name())
                .setSession(answer.session().orElse(""))
                .setBody(answer.body())
                .setRetryAfterMillis(answer.retryAfterMillis())
                .build();
    }

    static CallerAnswer decode(ForwardAnswer message) {
        return new CallerAnswer(
                message.getStatus(),
                verdict(message.getVerdict()),
                message.getBody(),
                optionalText(message.getSession()),
                message.getRetryAfterMillis());
    }

    /** An unknown verdict, from a later version, must not promise more than is known. */
    private static Verdict verdict(String name) {
        for (Verdict verdict : Verdict.values()) {
            if (verdict.name().equals(name)) {
                return verdict;
            }
        }
        return Verdict.MAY_HAVE_RUN;
    }
}
