package org.plantainferry.verification.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.CharBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.network.http.SocketAddresses;

/**
 * Sends the requests of one caller to one address over HTTP, one at a time. Must be used on the
 * given event loop only.
 */
final class LoadConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int MAX_BODY_BYTES = 128 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 10_000;

    /**
     * Holds the parts of an HTTP response that the caller evaluates.
     *
     * @param status the HTTP status; 0 without a response, because the connection failed
     * @param body the body
     * @param sessionToken the session token; empty if the response has none
     * @param verdict the verdict; {@code NONE} if the response has none
     */
    record Response(int status, String body, Optional<String> sessionToken, String verdict) {
        static final Response NO_RESPONSE = new Response(0, "", Optional.empty(), "NONE");
    }

    private final String mAddress;
    private final EventLoop mEventLoop;
    private ChannelHandlerContext mContext;
    private Consumer<Response> mResponseListener;

    LoadConnection(String address, EventLoop eventLoop) {
        mAddress = address;
        mEventLoop = eventLoop;
    }

    /**
     * Sends a request and opens a connection first if none is active. The listener receives {@link
     * Response#NO_RESPONSE} if the connection cannot be opened or is closed before the response
     * arrives.
     */
    void send(RequestFactory.Request request, Consumer<Response> responseListener) {
        mResponseListener = responseListener;
        if (mContext != null && mContext.channel().isActive()) {
            writeRequest(request);
            return;
        }
        LoadConnection responseHandler = this;
        new Bootstrap()
                .group(mEventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                        .addLast(responseHandler);
                            }
                        })
                .connect(SocketAddresses.parse(mAddress))
                .addListener((ChannelFuture connectFuture) -> onConnected(connectFuture, request));
    }

    void close() {
        mResponseListener = null;
        if (mContext != null) {
            mContext.close();
        }
    }

    private void onConnected(ChannelFuture connectFuture, RequestFactory.Request request) {
        if (connectFuture.isSuccess()) {
            writeRequest(request);
        } else {
            completeRequest(Response.NO_RESPONSE);
        }
    }

    private void writeRequest(RequestFactory.Request request) {
        ByteBuf body =
                ByteBufUtil.encodeString(
                        mContext.alloc(), CharBuffer.wrap(request.body()), StandardCharsets.UTF_8);
        FullHttpRequest httpRequest =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.POST, request.path(), body);
        request.headers().forEach((name, value) -> httpRequest.headers().set(name, value));
        httpRequest.headers().set(HttpHeaderNames.HOST, mAddress);
        httpRequest.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        mContext.writeAndFlush(httpRequest);
    }

    private void completeRequest(Response response) {
        Consumer<Response> responseListener = mResponseListener;
        mResponseListener = null;
        if (responseListener != null) {
            responseListener.accept(response);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public boolean isSharable() {
        return true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        completeRequest(
                new Response(
                        response.status().code(),
                        response.content().toString(StandardCharsets.UTF_8),
                        Optional.ofNullable(response.headers().get("Plantainferry-Session")),
                        Optional.ofNullable(response.headers().get("Plantainferry-Verdict"))
                                .orElse("NONE")));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        completeRequest(Response.NO_RESPONSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
