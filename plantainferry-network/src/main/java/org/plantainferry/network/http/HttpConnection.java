package org.plantainferry.network.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.Verdict;

/**
 * Carries one HTTP request at a time.
 *
 * <p>The connection closes itself whenever it is no longer certain that the next answer belongs to
 * the next request: after a timeout, after an answer that cannot be read, is too large, lacks the
 * expected header or arrives without a request.
 *
 * @since 0.1
 */
public final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final String mAddress;
    private final ErrorCode mUnavailableCode;
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();

    private volatile Channel mChannel;
    // Cleared before the channel closes, so that no caller picks a connection that is to close.
    private volatile boolean mUsable = true;

    // The fields below belong to the event loop of the channel.
    private CompletableFuture<HttpResponse> mPendingResponse;
    private HttpRequest mPendingRequest;
    private Future<?> mResponseTimeout;

    HttpConnection(String address, ErrorCode unavailable) {
        mAddress = address;
        mUnavailableCode = unavailable;
    }

    /**
     * Sends a request and waits for its answer; returns at once.
     *
     * @param timeoutMillis milliseconds to wait for the whole answer, at least 1
     * @return a future that fails with the verdict {@code NOT_RUN} when no byte was written, and
     *     {@code MAY_HAVE_RUN} otherwise
     */
    public CompletableFuture<HttpResponse> send(HttpRequest call, long timeoutMillis) {
        Preconditions.notNull(call, "call");
        Preconditions.condition(timeoutMillis >= 1, "timeoutMillis must be at least 1");
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        try {
            mChannel.eventLoop().execute(() -> startRequest(call, timeoutMillis, result));
        } catch (RejectedExecutionException e) {
            fail(result, mUnavailableCode, "the client is shut down", Verdict.NOT_RUN, e);
        }
        return result;
    }

    /** Returns whether the connection can carry a request, now or after the one in progress. */
    public boolean isOpen() {
        return mUsable && mChannel.isActive();
    }

    /** Returns a future that completes when the connection is closed, by either side. */
    public CompletableFuture<Void> closeFuture() {
        return mClosed.copy();
    }

    /** Closes the connection; a request in progress fails. */
    public void close() {
        mUsable = false;
        mChannel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        if (mPendingResponse == null || !response.decoderResult().isSuccess()) {
            closeAndFail(
                    mUnavailableCode,
                    "sent an answer that cannot be read or was not asked for",
                    null);
            return;
        }
        if (!hasExpectedHeader(response)) {
            closeAndFail(mUnavailableCode, "sent the answer to another request", null);
            return;
        }
        if (!HttpUtil.isKeepAlive(response)) {
            mUsable = false;
        }
        CompletableFuture<HttpResponse> pending = takePendingResponse();
        HttpResponse answer =
                new HttpResponse(
                        response.status().code(),
                        Optional.ofNullable(response.headers().get(HttpHeaderNames.ETAG)),
                        response.content().toString(StandardCharsets.UTF_8));
        if (!mUsable) {
            mChannel.close();
        }
        pending.complete(answer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closeAndFail(mUnavailableCode, "closed the connection", null);
        mClosed.complete(null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeAndFail(mUnavailableCode, "broke the connection: " + cause.getMessage(), cause);
    }

    private void startRequest(
            HttpRequest call, long timeoutMillis, CompletableFuture<HttpResponse> result) {
        if (!isOpen()) {
            fail(result, mUnavailableCode, "the connection is closed", Verdict.NOT_RUN, null);
            return;
        }
        if (mPendingResponse != null) {
            fail(result, mUnavailableCode, "another request is in progress", Verdict.NOT_RUN, null);
            return;
        }
        FullHttpRequest request;
        try {
            request = toNettyRequest(call);
        } catch (IllegalArgumentException e) {
            fail(result, ErrorCode.ARGUMENT_INVALID, e.getMessage(), Verdict.NOT_RUN, e);
            return;
        }
        mPendingResponse = result;
        mPendingRequest = call;
        mResponseTimeout =
                mChannel.eventLoop()
                        .schedule(
                                () -> onTimeout(timeoutMillis),
                                timeoutMillis,
                                TimeUnit.MILLISECONDS);
        // A failed write may have left some bytes, so it never counts as "not run".
        mChannel.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (!written.isSuccess() && mPendingResponse == result) {
                                closeAndFail(
                                        mUnavailableCode,
                                        "did not take the request",
                                        written.cause());
                            }
                        });
    }

    private void onTimeout(long timeoutMillis) {
        closeAndFail(
                ErrorCode.DEADLINE_EXCEEDED,
                "did not answer within " + timeoutMillis + " ms",
                null);
    }

    private FullHttpRequest toNettyRequest(HttpRequest call) {
        ByteBuf body =
                call.body()
                        .map(text -> Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                        .orElse(Unpooled.EMPTY_BUFFER);
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()), call.uri(), body);
        call.headers().forEach((name, value) -> request.headers().set(name, value));
        request.headers().set(HttpHeaderNames.HOST, mAddress);
        if (call.body().isPresent()) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        HttpUtil.setContentLength(request, body.readableBytes());
        return request;
    }

    private boolean hasExpectedHeader(FullHttpResponse response) {
        Optional<String> name = mPendingRequest.expectedHeader();
        return name.isEmpty()
                || mPendingRequest
                        .headers()
                        .get(name.get())
                        .equals(response.headers().get(name.get()));
    }

    private CompletableFuture<HttpResponse> takePendingResponse() {
        CompletableFuture<HttpResponse> pending = mPendingResponse;
        mPendingResponse = null;
        mPendingRequest = null;
        mResponseTimeout.cancel(false);
        return pending;
    }

    private void closeAndFail(ErrorCode code, String reason, Throwable cause) {
        mUsable = false;
        mChannel.close();
        if (mPendingResponse != null) {
            fail(takePendingResponse(), code, reason, Verdict.MAY_HAVE_RUN, cause);
        }
    }

    private void fail(
            CompletableFuture<HttpResponse> result,
            ErrorCode code,
            String reason,
            Verdict verdict,
            Throwable cause) {
        result.completeExceptionally(
                new PlantainferryException(code, mAddress + ": " + reason, verdict, 0, cause));
    }
}
