package org.plantainferry.verification.standin.group;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.json.Json;
import org.plantainferry.verification.standin.HttpExchanges;
import org.plantainferry.verification.standin.group.GroupResponses.Invalid;
import org.plantainferry.verification.standin.group.GroupResponses.Response;

/** Serves the HTTP protocol of one database server (section 13.2 of the design page). */
final class ServerHandler implements HttpHandler {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final HttpString REQUEST_NUMBER = new HttpString("Request-Number");
    private static final AttachmentKey<ConnectionState> CONNECTION =
            AttachmentKey.create(ConnectionState.class);

    /** Holds the open transaction of a connection; closing the connection rolls it back. */
    private static final class ConnectionState {
        private Optional<Transaction> mTransaction = Optional.empty();
    }

    private final ServerContext mContext;
    private final StatementService mStatements;
    private final Set<String> mForbiddenTexts;
    private final Predicate<HttpServerExchange> mIsAboveConnectionLimit;

    ServerHandler(
            ServerContext context,
            Set<String> forbiddenTexts,
            Predicate<HttpServerExchange> isExcess) {
        mContext = context;
        mStatements = new StatementService(context);
        mForbiddenTexts = forbiddenTexts;
        mIsAboveConnectionLimit = isExcess;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (exchange.isInIoThread()) {
            // The task runs after Undertow has left this call, so another thread may continue it.
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> begin(exchange));
            return;
        }
        String number = exchange.getRequestHeaders().getFirst(REQUEST_NUMBER);
        if (number != null) {
            exchange.getResponseHeaders().put(REQUEST_NUMBER, number);
        }
        Response response = handle(exchange, number != null);
        mContext.awaitReachable(HttpExchanges.sourceAddress(exchange));
        boolean isLost =
                response.body() instanceof GroupResponses.Result && consumeLostAnswer(exchange);
        if (mContext.isStopped() || isLost) {
            HttpExchanges.closeConnection(exchange);
            return;
        }
        HttpExchanges.sendJson(exchange, response.status(), response.body());
    }

    private void begin(HttpServerExchange exchange) {
        if (mContext.holdUnlessReachable(
                HttpExchanges.sourceAddress(exchange), () -> begin(exchange))) {
            exchange.dispatch(this);
        }
    }

    private boolean consumeLostAnswer(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        return (path.equals("/statement") || path.equals("/commit"))
                && mContext.consumeLostAnswer();
    }

    private Response handle(HttpServerExchange exchange, boolean isNumbered) throws Exception {
        Optional<ConnectionState> connection = connectionState(exchange);
        if (connection.isEmpty()) {
            exchange.setPersistent(false);
            return new Response(503, new GroupResponses.Busy("too_many_connections"));
        }
        Optional<String> body = HttpExchanges.readBody(exchange, MAX_BODY_BYTES);
        if (body.isEmpty()) {
            exchange.setPersistent(false);
            return new Response(400, Invalid.statement("the body is too large"));
        }
        Optional<String> violation = findViolation(exchange, body.get());
        if (violation.isPresent()) {
            mContext.counters()
                    .addViolation(
                            new GroupCounters.Violation(
                                    mContext.server().name(),
                                    exchange.getRequestPath(),
                                    violation.get()));
            return new Response(400, Invalid.statement(violation.get()));
        }
        if (!isNumbered) {
            return new Response(400, Invalid.statement("no header Request-Number"));
        }
        try {
            return route(exchange, connection.get(), body.get());
        } catch (PlantainferryException e) {
            return new Response(400, Invalid.statement(e.getMessage()));
        }
    }

    /**
     * Returns the state of the connection, or empty when it exceeds the connection limit.
     *
     * <p>The first request of a connection waits for the simulated time of opening it.
     */
    private Optional<ConnectionState> connectionState(HttpServerExchange exchange)
            throws InterruptedException {
        ConnectionState existing = exchange.getConnection().getAttachment(CONNECTION);
        if (existing != null) {
            return Optional.of(existing);
        }
        TimeUnit.MILLISECONDS.sleep(mContext.openMillis());
        if (mIsAboveConnectionLimit.test(exchange)) {
            return Optional.empty();
        }
        ConnectionState opened = new ConnectionState();
        exchange.getConnection().putAttachment(CONNECTION, opened);
        return Optional.of(opened);
    }

    private Optional<String> findViolation(HttpServerExchange exchange, String body) {
        if (exchange.getRequestHeaders().contains(Headers.AUTHORIZATION)) {
            return Optional.of("the request has an Authorization header");
        }
        String request =
                exchange.getRequestURI()
                        + "?"
                        + exchange.getQueryString()
                        + exchange.getRequestHeaders()
                        + body;
        boolean isForbidden = mForbiddenTexts.stream().anyMatch(request::contains);
        return isForbidden
                ? Optional.of("the request contains a forbidden text")
                : Optional.empty();
    }

    private Response route(HttpServerExchange exchange, ConnectionState connection, String body)
            throws InterruptedException {
        String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        switch (call) {
            case "GET /state":
                return new Response(200, mContext.state());
            case "POST /statement":
                GroupRequests.Statement statement = parseBody(body, GroupRequests.Statement.class);
                return countServed(
                        statement.kind().wireName(),
                        mStatements.statement(statement, connection.mTransaction));
            case "POST /begin":
                return begin(connection, parseBody(body, GroupRequests.Begin.class));
            case "POST /commit":
                GroupRequests.Commit commit = parseBody(body, GroupRequests.Commit.class);
                Optional<Transaction> ending = connection.mTransaction;
                connection.mTransaction = Optional.empty();
                return countServed("commit", mStatements.commit(commit, ending));
            case "POST /rollback":
                connection.mTransaction = Optional.empty();
                return mStatements.rollback();
            case "POST /fence":
                return mContext.fence(parseBody(body, GroupRequests.Proposal.class));
            case "POST /promote":
                return mContext.promote(parseBody(body, GroupRequests.Proposal.class));
            default:
                return new Response(404, Invalid.statement("no such call: " + call));
        }
    }

    private Response begin(ConnectionState connection, GroupRequests.Begin request) {
        if (connection.mTransaction.isPresent()) {
            return new Response(400, Invalid.statement("a transaction is open on the connection"));
        }
        Response response = mStatements.begin(request);
        if (response.isOk()) {
            connection.mTransaction = Optional.of(new Transaction(request.term().orElseThrow()));
        }
        return response;
    }

    private Response countServed(String kind, Response response) {
        if (response.body() instanceof GroupResponses.Result) {
            String role = ((GroupResponses.Result) response.body()).role();
            mContext.counters().served(mContext.server().name(), kind, role);
        }
        return response;
    }

    private static <T> T parseBody(String body, Class<T> type) {
        return Json.read(body, type, ErrorCode.REQUEST_MALFORMED);
    }
}
