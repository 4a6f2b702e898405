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
    private static final int CONNECT_MILLIS = 10_000;

    /** Holds what the caller needs of an answer; status 0 when there was none. */
    record Answer(int status, String body, Optional<String> session, String verdict) {
        static final Answer NONE = new Answer(0, "", Optional.empty(), "NONE");
    }

    private final String mAddress;
    private final EventLoop mLoop;
    private ChannelHandlerContext mContext;
    private Consumer<Answer> mWaiting;

    LoadConnection(String address, EventLoop loop) {
        mAddress = address;
        mLoop = loop;
    }

    /** Sends a request, on a new connection when there is none. */
    void send(RequestFactory.Request request, Consumer<Answer> receiver) {
        mWaiting = receiver;
        if (mContext != null && mContext.channel().isActive()) {
            write(request);
            return;
        }
        LoadConnection self = this;
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
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
                .addListener((ChannelFuture done) -> connected(done, request));
    }

    void close() {
        mWaiting = null;
        if (mContext != null) {
            mContext.close();
        }
    }

    private void connected(ChannelFuture done, RequestFactory.Request request) {
        if (done.isSuccess()) {
            write(request);
        } else {
            answer(Answer.NONE);
        }
    }

    private void write(RequestFactory.Request request) {
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

    private void answer(Answer answer) {
        Consumer<Answer> receiver = mWaiting;
        mWaiting = null;
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
        answer(
                new Answer(
                        response.status().code(),
                        response.content().toString(StandardCharsets.UTF_8),
                        Optional.ofNullable(response.headers().get("Plantainferry-Session")),
                        Optional.ofNullable(response.headers().get("Plantainferry-Verdict"))
                                .orElse("NONE")));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        answer(Answer.NONE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
