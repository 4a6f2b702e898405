package org.plantainferry.daemon.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.daemon.log.LogEvent;
import org.plantainferry.daemon.traffic.CallerAnswer;
import org.plantainferry.daemon.traffic.CallerRequest;
import org.plantainferry.daemon.traffic.RequestHandler;

/** Serves callers: reads a request, hands it to the gateway, writes the answer. */
final class CallerHttpHandler implements HttpHandler {
    static final int MAX_BODY_BYTES = 64 * 1_024;
    private static final String JSON = "application/json";
    private static final long CLOSING_RETRY_AFTER_MILLIS = 100;

    private final CallerRequestReader mReader;
    private final RequestHandler mRequestHandler;
    private final RequestTracker mTracker;
    private final InstanceId mInstance;
    private final BooleanSupplier mDraining;
    private final LongSupplier mClock;

    CallerHttpHandler(
            CallerRequestReader reader,
            RequestHandler gateway,
            RequestTracker tracker,
            InstanceId instance,
            BooleanSupplier draining,
            LongSupplier clock) {
        mReader = reader;
        mRequestHandler = gateway;
        mTracker = tracker;
        mInstance = instance;
        mDraining = draining;
        mClock = clock;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long arrivedNanos = mClock.getAsLong();
        if (!exchange.getRequestMethod().equals(Methods.POST)) {
            refuse(exchange, ErrorCode.REQUEST_MALFORMED, "the method must be POST");
            return;
        }
        if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            refuse(exchange, ErrorCode.BODY_TOO_LARGE, "the body exceeds " + MAX_BODY_BYTES);
            return;
        }
        exchange.setMaxEntitySize(MAX_BODY_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (receiver, body) -> startRequest(receiver, body, arrivedNanos),
                        this::refuseUnreadable);
    }

    private void startRequest(HttpServerExchange exchange, byte[] body, long arrivedNanos) {
        CallerRequest request;
        try {
            request = mReader.read(exchange, body, arrivedNanos);
        } catch (PlantainferryException e) {
            write(exchange, CallerAnswer.refusal(e));
            return;
        }
        RequestTracker.TrackedRequest started = mTracker.start(request, arrivedNanos);
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        mRequestHandler
                                .handle(request)
                                .whenComplete(
                                        (answer, failure) ->
                                                finishRequest(exchange, started, answer, failure)));
    }

    private void finishRequest(
            HttpServerExchange exchange,
            RequestTracker.TrackedRequest started,
            CallerAnswer answer,
            Throwable failure) {
        CallerAnswer given = answer;
        if (failure != null) {
            LogEvent.REQUEST_ERROR.logWithCause(failure, failure.getMessage());
            given = CallerAnswer.failure(failure);
        }
        write(exchange, given);
        started.finish(given, mClock.getAsLong());
    }

    private void refuseUnreadable(HttpServerExchange exchange, IOException error) {
        if (error instanceof RequestTooBigException) {
            exchange.setPersistent(false);
            refuse(exchange, ErrorCode.BODY_TOO_LARGE, "the body exceeds " + MAX_BODY_BYTES);
            return;
        }
        refuse(exchange, ErrorCode.REQUEST_MALFORMED, "the body ended early");
    }

    private void refuse(HttpServerExchange exchange, ErrorCode code, String message) {
        write(exchange, CallerAnswer.refusal(new PlantainferryException(code, message)));
    }

    /** Refuses a request because the listener is about to close. */
    void refuseClosing(HttpServerExchange exchange) {
        write(
                exchange,
                CallerAnswer.refusal(
                        new PlantainferryException(
                                ErrorCode.DRAINING,
                                "the instance shuts down; use another one",
                                Verdict.NOT_RUN,
                                CLOSING_RETRY_AFTER_MILLIS,
                                null)));
    }

    private void write(HttpServerExchange exchange, CallerAnswer answer) {
        if (mDraining.getAsBoolean()) {
            // The caller opens its next connection elsewhere, so the end of the listener cuts none.
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(answer.status());
        exchange.getResponseHeaders().put(CallerHeaders.INSTANCE, mInstance.value());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        Verdict verdict = answer.verdict();
        exchange.getResponseHeaders().put(CallerHeaders.VERDICT, verdict.name());
        answer.session()
                .ifPresent(text -> exchange.getResponseHeaders().put(CallerHeaders.SESSION, text));
        if (answer.retryAfterMillis() > 0) {
            long seconds = TimeUnit.MILLISECONDS.toSeconds(answer.retryAfterMillis() + 999);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        exchange.getResponseSender().send(answer.body());
    }
}
