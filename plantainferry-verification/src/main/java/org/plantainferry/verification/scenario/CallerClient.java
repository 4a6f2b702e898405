package org.plantainferry.verification.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.json.Json;
import org.plantainferry.api.session.SessionToken;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.verification.history.Answer;
import org.plantainferry.verification.history.Call;
import org.plantainferry.verification.history.CallRecord;
import org.plantainferry.verification.history.HistoryRecorder;
import org.plantainferry.verification.history.Operation;
import org.plantainferry.verification.history.Outcome;

/** Calls instances for one client, carries its session tokens, and records every call. */
final class CallerClient {
    // A client waits longer than the deadline so that a late answer is seen as late.
    private static final long EXTRA_TIMEOUT_MILLIS = 1_500;

    /** Describes who calls, with which key. */
    record Identity(String client, String workspace, String keyId, String key) {}

    /** Describes one request. */
    record Request(
            String service,
            Operation operation,
            Optional<String> transaction,
            String statement,
            Optional<String> idempotencyKey,
            long deadlineMillis,
            Optional<Long> maximumAgeMillis) {
        static Request of(String service, Operation operation, String statement, long deadline) {
            return new Request(
                    service,
                    operation,
                    Optional.empty(),
                    statement,
                    Optional.empty(),
                    deadline,
                    Optional.empty());
        }

        Request inTransaction(String id) {
            return new Request(
                    service,
                    operation,
                    Optional.of(id),
                    statement,
                    idempotencyKey,
                    deadlineMillis,
                    maximumAgeMillis);
        }

        Request withIdempotencyKey(String key) {
            return new Request(
                    service,
                    operation,
                    transaction,
                    statement,
                    Optional.of(key),
                    deadlineMillis,
                    maximumAgeMillis);
        }

        Request withMaximumAge(long millis) {
            return new Request(
                    service,
                    operation,
                    transaction,
                    statement,
                    idempotencyKey,
                    deadlineMillis,
                    Optional.of(millis));
        }
    }

    private final HttpClient mHttp;
    private final HistoryRecorder mRecorder;
    private final SessionTokenCodec mTokenCodec;
    private final Identity mIdentity;
    private final Map<String, String> mSessionTokens = new HashMap<>();

    CallerClient(
            HttpClient http,
            HistoryRecorder recorder,
            SessionTokenCodec tokens,
            Identity identity) {
        mHttp = http;
        mRecorder = recorder;
        mTokenCodec = tokens;
        mIdentity = identity;
    }

    Identity identity() {
        return mIdentity;
    }

    /** Sends one request to an instance and records how it ended. */
    CallRecord call(String instance, String address, Request request) throws InterruptedException {
        Optional<String> token = Optional.ofNullable(mSessionTokens.get(request.service()));
        Call call =
                new Call(
                        mIdentity.client(),
                        mIdentity.client() + "/" + request.service(),
                        mIdentity.workspace(),
                        request.operation() == Operation.OPEN_READ ? "" : mIdentity.keyId(),
                        instance,
                        request.service(),
                        request.operation(),
                        request.transaction(),
                        request.statement(),
                        request.idempotencyKey(),
                        token.map(text -> mTokenCodec.decode(text).seen()),
                        request.deadlineMillis());
        HttpRequest http = toHttpRequest(address, request, token);
        Outcome outcome = Outcome.ANSWERED;
        Optional<Answer> answer = Optional.empty();
        long start = System.nanoTime();
        try {
            HttpResponse<String> response = mHttp.send(http, HttpResponse.BodyHandlers.ofString());
            answer = Optional.of(toAnswer(request, response));
        } catch (HttpConnectTimeoutException | ConnectException e) {
            outcome = Outcome.NOT_SENT;
        } catch (HttpTimeoutException e) {
            outcome = Outcome.TIMEOUT;
        } catch (IOException e) {
            outcome = Outcome.CUT;
        }
        CallRecord record = new CallRecord(call, start, System.nanoTime(), outcome, answer);
        mRecorder.add(record);
        return record;
    }

    private HttpRequest toHttpRequest(String address, Request request, Optional<String> token) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + address + path(request)))
                        .timeout(Duration.ofMillis(request.deadlineMillis() + EXTRA_TIMEOUT_MILLIS))
                        .header(
                                "Plantainferry-Deadline-Millis",
                                Long.toString(request.deadlineMillis()))
                        .POST(HttpRequest.BodyPublishers.ofString(body(request)));
        if (request.operation() != Operation.OPEN_READ) {
            builder.header("Authorization", "Bearer " + mIdentity.key());
        }
        token.ifPresent(text -> builder.header("Plantainferry-Session", text));
        request.idempotencyKey().ifPresent(key -> builder.header("Idempotency-Key", key));
        request.maximumAgeMillis()
                .ifPresent(age -> builder.header("Plantainferry-Maximum-Age-Millis", "" + age));
        return builder.build();
    }

    private static String path(Request request) {
        String service = "/v1/services/" + request.service();
        String transaction = service + "/transactions/" + request.transaction().orElse("");
        return switch (request.operation()) {
            case OPEN_READ -> "/v1/open/" + InitialConfiguration.OPEN_ROUTE;
            case READ, WRITE -> service + "/statements";
            case BEGIN -> service + "/transactions";
            case TRANSACTION_READ, TRANSACTION_WRITE -> transaction + "/statements";
            case COMMIT -> transaction + "/commit";
            case ROLLBACK -> transaction + "/rollback";
        };
    }

    private static String body(Request request) {
        return switch (request.operation()) {
            case BEGIN, COMMIT, ROLLBACK -> "";
            case OPEN_READ -> Json.write(Map.of("statement", request.statement()));
            case READ, TRANSACTION_READ ->
                    Json.write(Map.of("statement", request.statement(), "kind", "read"));
            case WRITE, TRANSACTION_WRITE ->
                    Json.write(Map.of("statement", request.statement(), "kind", "write"));
        };
    }

    private Answer toAnswer(Request request, HttpResponse<String> response) {
        JsonNode body;
        try {
            body = Json.strict().readTree(response.body());
        } catch (JsonProcessingException e) {
            String text = response.body();
            body =
                    Json.strict()
                            .createObjectNode()
                            .put("result", text.substring(0, Math.min(text.length(), 200)));
        }
        Optional<SessionToken> session =
                header(response, "Plantainferry-Session").map(mTokenCodec::decode);
        header(response, "Plantainferry-Session")
                .ifPresent(text -> mSessionTokens.put(request.service(), text));
        String resultField = request.operation() == Operation.BEGIN ? "transaction" : "result";
        return new Answer(
                response.statusCode(),
                header(response, "Plantainferry-Verdict").orElse(""),
                body.path("code").asText(""),
                Optional.ofNullable(body.get(resultField))
                        .filter(node -> !node.isNull())
                        .map(JsonNode::asText),
                body.path("server").asText(""),
                body.path("role").asText(""),
                body.path("term").asLong(0),
                body.path("position").asLong(0),
                session.map(SessionToken::seen),
                session.map(token -> token.workspace().value()),
                header(response, "Plantainferry-Instance").orElse(""),
                body.path("retryAfterMillis").asLong(0));
    }

    private static Optional<String> header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name);
    }
}
