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
    private final ErrorCode mUnavailable;
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();

    private volatile Channel mChannel;
    // Cleared before the channel closes, so that no caller picks a connection that is to close.
    private volatile boolean mUsable = true;

    // The fields below belong to the event loop of the channel.
    private CompletableFuture<HttpResponse> mPending;
    private HttpRequest mPendingCall;
    private Future<?> mDeadline;

    HttpConnection(String address, ErrorCode unavailable) {
        mAddress = address;
        mUnavailable = unavailable;
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
            mChannel.eventLoop().execute(() -> start(call, timeoutMillis, result));
        } catch (RejectedExecutionException e) {
            fail(result, mUnavailable, "the client is shut down", Verdict.NOT_RUN, e);
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
        if (mPending == null || !response.decoderResult().isSuccess()) {
            abandon(mUnavailable, "sent an answer that cannot be read or was not asked for", null);
            return;
        }
        if (!isExpected(response)) {
            abandon(mUnavailable, "sent the answer to another request", null);
            return;
        }
        if (!HttpUtil.isKeepAlive(response)) {
            mUsable = false;
        }
        CompletableFuture<HttpResponse> pending = takePending();
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
        abandon(mUnavailable, "closed the connection", null);
        mClosed.complete(null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        abandon(mUnavailable, "broke the connection: " + cause.getMessage(), cause);
    }

    private void start(
            HttpRequest call, long timeoutMillis, CompletableFuture<HttpResponse> result) {
        if (!isOpen()) {
            fail(result, mUnavailable, "the connection is closed", Verdict.NOT_RUN, null);
            return;
        }
        if (mPending != null) {
            fail(result, mUnavailable, "another request is in progress", Verdict.NOT_RUN, null);
            return;
        }
        FullHttpRequest request;
        try {
            request = request(call);
        } catch (IllegalArgumentException e) {
            fail(result, ErrorCode.ARGUMENT_INVALID, e.getMessage(), Verdict.NOT_RUN, e);
            return;
        }
        mPending = result;
        mPendingCall = call;
        mDeadline =
                mChannel.eventLoop()
                        .schedule(
                                () -> expire(timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
        // A failed write may have left some bytes, so it never counts as "not run".
        mChannel.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (!written.isSuccess() && mPending == result) {
                                abandon(mUnavailable, "did not take the request", written.cause());
                            }
                        });
    }

    private void expire(long timeoutMillis) {
        abandon(
                ErrorCode.DEADLINE_EXCEEDED,
                "did not answer within " + timeoutMillis + " ms",
                null);
    }

    private FullHttpRequest request(HttpRequest call) {
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

    private boolean isExpected(FullHttpResponse response) {
        Optional<String> name = mPendingCall.expectedHeader();
        return name.isEmpty()
                || mPendingCall
                        .headers()
                        .get(name.get())
                        .equals(response.headers().get(name.get()));
    }

    private CompletableFuture<HttpResponse> takePending() {
        CompletableFuture<HttpResponse> pending = mPending;
        mPending = null;
        mPendingCall = null;
        mDeadline.cancel(false);
        return pending;
    }

    private void abandon(ErrorCode code, String reason, Throwable cause) {
        mUsable = false;
        mChannel.close();
        if (mPending != null) {
            fail(takePending(), code, reason, Verdict.MAY_HAVE_RUN, cause);
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
