package org.plantainferry.daemon.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.configuration.OpenRoute;
import org.plantainferry.api.json.Json;
import org.plantainferry.api.session.SessionToken;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.daemon.traffic.CallerAuthenticator;
import org.plantainferry.daemon.traffic.CallerRequest;
import org.plantainferry.daemon.traffic.Operation;

/** Reads a caller's request from HTTP and checks its key. */
final class CallerRequestReader {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final int MAX_AUTHORIZATION_LENGTH = 256;
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 128;
    private static final long MAX_DEADLINE_MILLIS = 600_000;
    private static final long MAX_DATA_AGE_MILLIS = 86_400_000;

    private final CallerAuthenticator mAuthenticator;
    private final SessionTokenCodec mTokens;
    private final long mDefaultDeadlineMillis;

    CallerRequestReader(
            CallerAuthenticator authority, SessionTokenCodec tokens, long defaultDeadlineMillis) {
        mAuthenticator = authority;
        mTokens = tokens;
        mDefaultDeadlineMillis = defaultDeadlineMillis;
    }

    CallerRequest read(HttpServerExchange exchange, byte[] body, long nowNanos) {
        CallerPath path = CallerPath.parse(exchange.getRequestPath());
        if (path.openRoute().isPresent()) {
            return readOpenRoute(exchange, path.openRoute().get(), body, nowNanos);
        }
        ServiceName service = path.parseService().orElseThrow();
        CallerAuthenticator.AuthenticatedKey holder =
                mAuthenticator.authenticate(readKey(exchange), service);
        boolean hasStatement =
                path.operation() == Operation.STATEMENT
                        || path.operation() == Operation.TRANSACTION_STATEMENT;
        Optional<StatementBody> content =
                hasStatement ? Optional.of(readStatement(body)) : Optional.empty();
        StatementKind kind = content.map(StatementBody::kind).orElse(StatementKind.WRITE);
        if (kind == null) {
            throw malformed("body: kind must be \"read\" or \"write\"");
        }
        return new CallerRequest(
                holder.workspace(),
                Optional.of(holder.keyId()),
                service,
                path.operation(),
                path.transaction(),
                content.map(StatementBody::statement).orElse(""),
                kind,
                readSession(exchange),
                readIdempotencyKey(exchange),
                readDeadlineNanos(exchange, nowNanos),
                readNumber(exchange, CallerHeaders.MAXIMUM_AGE_MILLIS, MAX_DATA_AGE_MILLIS));
    }

    private CallerRequest readOpenRoute(
            HttpServerExchange exchange, String name, byte[] body, long nowNanos) {
        OpenRoute route = mAuthenticator.openRoute(name);
        StatementBody content = readStatement(body);
        if (!content.statement().startsWith(route.statementPrefix())) {
            throw malformed(
                    "body: on this route a statement must begin with \""
                            + route.statementPrefix()
                            + "\"");
        }
        Optional<Long> age =
                readNumber(exchange, CallerHeaders.MAXIMUM_AGE_MILLIS, MAX_DATA_AGE_MILLIS);
        return new CallerRequest(
                route.workspace(),
                Optional.empty(),
                route.service(),
                Operation.STATEMENT,
                Optional.empty(),
                content.statement(),
                StatementKind.READ,
                readSession(exchange),
                Optional.empty(),
                readDeadlineNanos(exchange, nowNanos),
                age.isPresent() ? age : route.maximumAgeMillis());
    }

    private static String readKey(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (header == null
                || !header.startsWith(BEARER_PREFIX)
                || header.length() > MAX_AUTHORIZATION_LENGTH) {
            throw new PlantainferryException(
                    ErrorCode.KEY_INVALID, "header Authorization must be \"Bearer KEY\"");
        }
        return header.substring(BEARER_PREFIX.length()).trim();
    }

    private static StatementBody readStatement(byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        try {
            return Json.read(text, StatementBody.class, ErrorCode.REQUEST_MALFORMED);
        } catch (PlantainferryException e) {
            throw new PlantainferryException(
                    ErrorCode.REQUEST_MALFORMED, "body: " + e.getMessage(), e);
        }
    }

    private Optional<SessionToken> readSession(HttpServerExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(CallerHeaders.SESSION))
                .map(mTokens::decode);
    }

    private static Optional<String> readIdempotencyKey(HttpServerExchange exchange) {
        String key = exchange.getRequestHeaders().getFirst(CallerHeaders.IDEMPOTENCY_KEY);
        if (key == null) {
            return Optional.empty();
        }
        if (key.isBlank() || key.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
            throw malformed(
                    "header Idempotency-Key must have 1 to "
                            + MAX_IDEMPOTENCY_KEY_LENGTH
                            + " characters");
        }
        return Optional.of(key);
    }

    private long readDeadlineNanos(HttpServerExchange exchange, long nowNanos) {
        long millis =
                readNumber(exchange, CallerHeaders.DEADLINE_MILLIS, MAX_DEADLINE_MILLIS)
                        .orElse(mDefaultDeadlineMillis);
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static Optional<Long> readNumber(
            HttpServerExchange exchange, HttpString header, long most) {
        String text = exchange.getRequestHeaders().getFirst(header);
        if (text == null) {
            return Optional.empty();
        }
        if (!text.matches("[0-9]{1,9}") || Long.parseLong(text) > most) {
            throw malformed("header " + header + " must be a whole number from 0 to " + most);
        }
        return Optional.of(Long.parseLong(text));
    }

    private static PlantainferryException malformed(String message) {
        return new PlantainferryException(ErrorCode.REQUEST_MALFORMED, message);
    }
}
