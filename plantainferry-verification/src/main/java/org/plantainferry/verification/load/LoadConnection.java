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

/** Carries the requests of one caller to one address, one at a time, on one event loop. */
final class LoadConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int MAX_BODY_BYTES = 128 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 10_000;

    /** Holds what the caller needs of an answer; status 0 when there was none. */
    record Response(int status, String body, Optional<String> sessionToken, String verdict) {
        static final Response NO_RESPONSE = new Response(0, "", Optional.empty(), "NONE");
    }

    private final String mAddress;
    private final EventLoop mEventLoop;
    private ChannelHandlerContext mContext;
    private Consumer<Response> mResponseListener;

    LoadConnection(String address, EventLoop loop) {
        mAddress = address;
        mEventLoop = loop;
    }

    /** Sends a request, on a new connection when there is none. */
    void send(RequestFactory.Request request, Consumer<Response> receiver) {
        mResponseListener = receiver;
        if (mContext != null && mContext.channel().isActive()) {
            writeRequest(request);
            return;
        }
        LoadConnection self = this;
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
                                        .addLast(self);
                            }
                        })
                .connect(SocketAddresses.parse(mAddress))
                .addListener((ChannelFuture done) -> onConnected(done, request));
    }

    void close() {
        mResponseListener = null;
        if (mContext != null) {
            mContext.close();
        }
    }

    private void onConnected(ChannelFuture done, RequestFactory.Request request) {
        if (done.isSuccess()) {
            writeRequest(request);
        } else {
            completeRequest(Response.NO_RESPONSE);
        }
    }

    private void writeRequest(RequestFactory.Request request) {
        ByteBuf body =
                ByteBufUtil.encodeString(
                        mContext.alloc(), CharBuffer.wrap(request.body()), StandardCharsets.UTF_8);
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.POST, request.path(), body);
        request.headers().forEach((name, value) -> message.headers().set(name, value));
        message.headers().set(HttpHeaderNames.HOST, mAddress);
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        mContext.writeAndFlush(message);
    }

    private void completeRequest(Response answer) {
        Consumer<Response> receiver = mResponseListener;
        mResponseListener = null;
        if (receiver != null) {
            receiver.accept(answer);
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
