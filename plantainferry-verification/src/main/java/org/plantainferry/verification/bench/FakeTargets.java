package org.plantainferry.verification.bench;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.target.ServerState;

/**
 * Answers probes and statements for many groups at once, without data, lag or service time.
 *
 * <p>A stand-in with a log costs threads and memory for each group, which would hide the cost of
 * the instances.
 */
final class FakeTargets implements AutoCloseable {
    private static final int SERVERS_PER_SERVICE = 3;
    private static final int BACKLOG = 1_024;
    private static final int MAX_BODY_BYTES = 128 * 1024;
    private static final String STATEMENT_RESPONSE_FORMAT =
            "{\"result\":\"1\",\"term\":1,\"position\":1,\"lagMillis\":0,\"role\":\"%s\"}";

    private final List<Channel> mListeners = new ArrayList<>();
    private final List<Service> mServices = new ArrayList<>();
    private final LongAdder mProbes = new LongAdder();
    private final LongAdder mBytes = new LongAdder();

    /** Opens three servers for each service, spread over the failure domains. */
    FakeTargets(
            EventLoopGroup group,
            int services,
            int slots,
            int connectionLimit,
            List<FailureDomain> domains) {
        for (int number = 0; number < services; number++) {
            ServiceName name = new ServiceName("ledger-" + number);
            List<TargetServer> servers = new ArrayList<>();
            for (int index = 0; index < SERVERS_PER_SERVICE; index++) {
                ServerId id = new ServerId(name + "-" + (index + 1));
                ServerState state = serverState(id, name.value(), index, slots, connectionLimit);
                InetSocketAddress address = listen(group, state);
                servers.add(
                        new TargetServer(
                                id,
                                "127.0.0.1:" + address.getPort(),
                                domains.get((number + index) % domains.size())));
            }
            mServices.add(new Service(name, slots, connectionLimit, servers));
        }
    }

    List<Service> services() {
        return mServices;
    }

    long probeCount() {
        return mProbes.sum();
    }

    /** Returns the payload bytes of both directions. */
    long payloadBytes() {
        return mBytes.sum();
    }

    private static ServerState serverState(
            ServerId id, String group, int index, int slots, int connectionLimit) {
        return new ServerState(
                id,
                group,
                index == 0 ? ServerRole.PRIMARY : ServerRole.REPLICA,
                1,
                0,
                1,
                1,
                index == 0 ? Optional.empty() : Optional.of(1L),
                Optional.of(0L),
                false,
                slots,
                connectionLimit);
    }

    private InetSocketAddress listen(EventLoopGroup group, ServerState state) {
        Channel channel =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel socket) {
                                        socket.pipeline()
                                                .addLast(new ByteCounter())
                                                .addLast(new HttpServerCodec())
                                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                                .addLast(new ResponseHandler(state));
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
        mListeners.add(channel);
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        mListeners.forEach(each -> each.close().syncUninterruptibly());
    }

    private final class ByteCounter extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mBytes.add(((ByteBuf) message).readableBytes());
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            mBytes.add(((ByteBuf) message).readableBytes());
            context.write(message, promise);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final String mStateResponse;
        private final String mStatementResponse;

        ResponseHandler(ServerState state) {
            mStateResponse = Json.write(state);
            String role = state.role() == ServerRole.PRIMARY ? "primary" : "replica";
            mStatementResponse = String.format(STATEMENT_RESPONSE_FORMAT, role);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean isProbe = request.uri().equals("/state");
            if (isProbe) {
                mProbes.increment();
            }
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.OK,
                            ByteBufUtil.writeUtf8(
                                    context.alloc(),
                                    isProbe ? mStateResponse : mStatementResponse));
            Optional.ofNullable(request.headers().get("Request-Number"))
                    .ifPresent(number -> answer.headers().set("Request-Number", number));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
            context.writeAndFlush(answer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
