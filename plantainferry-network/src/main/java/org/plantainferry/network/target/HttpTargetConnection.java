package org.plantainferry.network.target;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainferry.network.http.Futures;
import org.plantainferry.network.http.HttpConnection;
import org.plantainferry.network.http.HttpRequest;

/** Numbers the requests of one connection and demands the number in each answer. */
final class HttpTargetConnection implements TargetConnection {
    private static final String REQUEST_NUMBER = "Request-Number";

    private final HttpConnection mHttp;
    private final AtomicLong mRequestNumbers;

    HttpTargetConnection(HttpConnection http, AtomicLong requestNumbers) {
        mHttp = http;
        mRequestNumbers = requestNumbers;
    }

    @Override
    public CompletableFuture<TargetResponse> send(TargetRequest request, long timeoutMillis) {
        String number = Long.toString(mRequestNumbers.incrementAndGet());
        HttpRequest call =
                new HttpRequest(
                        request.method(),
                        request.path(),
                        Map.of(REQUEST_NUMBER, number),
                        request.body(),
                        Optional.of(REQUEST_NUMBER));
        return Futures.map(
                mHttp.send(call, timeoutMillis),
                answer -> new TargetResponse(answer.status(), answer.body()));
    }

    @Override
    public boolean isOpen() {
        return mHttp.isOpen();
    }

    @Override
    public CompletableFuture<Void> closeFuture() {
        return mHttp.closeFuture();
    }

    @Override
    public void close() {
        mHttp.close();
    }
}
