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
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.Verdict;
import org.plantainferry.network.log.NetworkEvent;

/**
 * Carries one HTTP request at a time, and only one if the response does not name its request.
 *
 * <p>A server may answer a request twice, the second time late. Only a header that the response
 * must repeat tells such a response from the response to the next request. Without an expected
 * header the connection therefore closes after the response.
 *
 * <p>The connection closes itself whenever it is no longer certain that the next response belongs
 * to the next request: after a timeout, and after a response that cannot be read, is too large,
 * lacks the expected header or arrives without a request.
 *
 * @since 0.1
 */
public final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

    private final String mAddress;
    private final ErrorCode mUnavailableCode;
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();

    private volatile Channel mChannel;
    // Cleared before the channel closes, so that no caller picks a connection that is about to
    // close.
    private volatile boolean mUsable = true;

    // The fields below are confined to the event loop of the channel.
    private CompletableFuture<HttpResponse> mPendingResponse;
    private HttpRequest mPendingRequest;
    private Future<?> mResponseTimeout;

    HttpConnection(String address, ErrorCode unavailableCode) {
        mAddress = address;
        mUnavailableCode = unavailableCode;
    }

    /**
     * Sends a request without blocking.
     *
     * <p>A request that follows before the response fails with the verdict {@code NOT_RUN}. A
     * request that has no complete response in time is withdrawn: bytes that have not reached the
     * server never will.
     *
     * @param timeoutMillis milliseconds from this call to the complete response, at least 1
     * @return a future of the response; it fails with the verdict {@code NOT_RUN} when no byte was
     *     written, and {@code MAY_HAVE_RUN} otherwise
     */
    public CompletableFuture<HttpResponse> send(HttpRequest request, long timeoutMillis) {
        Preconditions.notNull(request, "call");
        Preconditions.condition(timeoutMillis >= 1, "timeoutMillis must be at least 1");
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            mChannel.eventLoop()
                    .execute(() -> startRequest(request, timeoutMillis, deadlineNanos, result));
        } catch (RejectedExecutionException e) {
            fail(result, mUnavailableCode, "the client is shut down", Verdict.NOT_RUN, e);
        }
        return result;
    }

    /** Returns whether the connection can carry a request, now or after the one in progress. */
    public boolean isOpen() {
        return mUsable && mChannel.isActive();
    }

    /** Returns whether a request is in progress; called on the event loop of the channel only. */
    boolean isAwaitingResponse() {
        return mPendingResponse != null;
    }

    /** Ends the connection, because its next bytes may belong to an earlier request. */
    void onUnaskedBytes() {
        NetworkEvent.RESPONSE_NOT_ASKED_FOR.log(mAddress);
        closeAndFail(mUnavailableCode, "sent an answer that was not asked for", null);
    }

    /** Returns a future that completes when either side has closed the connection. */
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
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse nettyResponse) {
        if (mPendingResponse == null) {
            onUnaskedBytes();
            return;
        }
        if (!nettyResponse.decoderResult().isSuccess() || hasSecondStatusLine(nettyResponse)) {
            closeAndFail(mUnavailableCode, "sent an answer that cannot be read", null);
            return;
        }
        if (!hasExpectedHeader(nettyResponse)) {
            NetworkEvent.RESPONSE_NOT_ASKED_FOR.log(mAddress);
            closeAndFail(mUnavailableCode, "sent the answer to another request", null);
            return;
        }
        if (!HttpUtil.isKeepAlive(nettyResponse) || mPendingRequest.expectedHeader().isEmpty()) {
            mUsable = false;
        }
        CompletableFuture<HttpResponse> pending = takePendingResponse();
        HttpResponse response =
                new HttpResponse(
                        nettyResponse.status().code(),
                        nettyResponse.headers(),
                        nettyResponse.content().toString(StandardCharsets.UTF_8));
        if (!mUsable) {
            mChannel.close();
        }
        pending.complete(response);
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
            HttpRequest request,
            long timeoutMillis,
            long deadlineNanos,
            CompletableFuture<HttpResponse> result) {
        // The process may have been stopped since the request was handed over.
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0) {
            String reason = "the request waited for " + timeoutMillis + " ms before it was sent";
            fail(result, ErrorCode.DEADLINE_EXCEEDED, reason, Verdict.NOT_RUN, null);
            return;
        }
        if (!isOpen()) {
            fail(result, mUnavailableCode, "the connection is closed", Verdict.NOT_RUN, null);
            return;
        }
        if (mPendingResponse != null) {
            fail(result, mUnavailableCode, "another request is in progress", Verdict.NOT_RUN, null);
            return;
        }
        FullHttpRequest nettyRequest;
        try {
            nettyRequest = toNettyRequest(request);
        } catch (IllegalArgumentException e) {
            fail(result, ErrorCode.ARGUMENT_INVALID, e.getMessage(), Verdict.NOT_RUN, e);
            return;
        }
        mPendingResponse = result;
        mPendingRequest = request;
        mResponseTimeout =
                mChannel.eventLoop()
                        .schedule(
                                () -> onTimeout(timeoutMillis),
                                remainingNanos,
                                TimeUnit.NANOSECONDS);
        // A failed write may have sent some bytes, so its verdict is never NOT_RUN.
        mChannel.writeAndFlush(nettyRequest)
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

    private FullHttpRequest toNettyRequest(HttpRequest request) {
        ByteBuf body =
                request.body()
                        .map(text -> Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                        .orElse(Unpooled.EMPTY_BUFFER);
        FullHttpRequest nettyRequest =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.uri(),
                        body);
        request.headers().forEach((name, value) -> nettyRequest.headers().set(name, value));
        nettyRequest.headers().set(HttpHeaderNames.HOST, mAddress);
        if (request.body().isPresent()) {
            nettyRequest.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        HttpUtil.setContentLength(nettyRequest, body.readableBytes());
        return nettyRequest;
    }

    /**
     * Returns whether a response was cut and continues with the start of another one, so that its
     * status and its other parts belong to different requests.
     */
    private static boolean hasSecondStatusLine(FullHttpResponse nettyResponse) {
        if (STATUS_LINE.matcher(nettyResponse.status().reasonPhrase()).find()) {
            return true;
        }
        for (Map.Entry<String, String> header : nettyResponse.headers()) {
            if (STATUS_LINE.matcher(header.getValue()).find()) {
                return true;
            }
        }
        return false;
    }

    private boolean hasExpectedHeader(FullHttpResponse nettyResponse) {
        Optional<String> name = mPendingRequest.expectedHeader();
        return name.isEmpty()
                || mPendingRequest
                        .headers()
                        .get(name.get())
                        .equals(nettyResponse.headers().get(name.get()));
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
