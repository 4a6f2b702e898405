package org.plantainferry.network.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.Verdict;

/**
 * Opens HTTP connections from a given local address.
 *
 * @since 0.1
 */
public final class HttpConnector {
    private final EventLoopGroup mGroup;
    private final Optional<InetAddress> mLocalAddress;
    private final int mConnectTimeoutMillis;
    private final int mMaxBodyBytes;
    private final ErrorCode mUnavailableCode;

    /**
     * Creates a connector.
     *
     * @param group the event loops, which the caller owns
     * @param localAddress the address that connections are bound to; empty for any
     * @param connectTimeoutMillis milliseconds to wait for a connection
     * @param maxBodyBytes the size above which an answer closes its connection
     * @param unavailable the code of errors of these connections
     */
    public HttpConnector(
            EventLoopGroup group,
            Optional<InetAddress> localAddress,
            int connectTimeoutMillis,
            int maxBodyBytes,
            ErrorCode unavailable) {
        mGroup = Preconditions.notNull(group, "group");
        mLocalAddress = Preconditions.notNull(localAddress, "localAddress");
        Preconditions.condition(connectTimeoutMillis > 0, "connectTimeoutMillis must be positive");
        Preconditions.condition(maxBodyBytes > 0, "maxBodyBytes must be positive");
        mConnectTimeoutMillis = connectTimeoutMillis;
        mMaxBodyBytes = maxBodyBytes;
        mUnavailableCode = Preconditions.notNull(unavailable, "unavailable");
    }

    /**
     * Opens a connection; returns at once.
     *
     * @param address IP:PORT of the server
     * @return a future that fails with the verdict {@code NOT_RUN}
     */
    public CompletableFuture<HttpConnection> connect(String address) {
        CompletableFuture<HttpConnection> result = new CompletableFuture<>();
        HttpConnection connection = new HttpConnection(address, mUnavailableCode);
        try {
            InetSocketAddress remote = SocketAddresses.parse(address);
            bootstrap(connection)
                    .connect(remote)
                    .addListener(
                            (ChannelFuture done) ->
                                    onConnectDone(done, address, connection, result));
        } catch (PlantainferryException e) {
            result.completeExceptionally(e);
        } catch (RuntimeException e) {
            result.completeExceptionally(unreachable(address, e));
        }
        return result;
    }

    private Bootstrap bootstrap(HttpConnection connection) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mConnectTimeoutMillis)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpClientCodec())
                                                .addLast(new HttpObjectAggregator(mMaxBodyBytes))
                                                .addLast(connection);
                                    }
                                });
        TcpKeepAlive.configure(bootstrap);
        mLocalAddress.ifPresent(local -> bootstrap.localAddress(new InetSocketAddress(local, 0)));
        return bootstrap;
    }

    private void onConnectDone(
            ChannelFuture done,
            String address,
            HttpConnection connection,
            CompletableFuture<HttpConnection> result) {
        if (!done.isSuccess()) {
            result.completeExceptionally(unreachable(address, done.cause()));
        } else if (!result.complete(connection)) {
            // Nobody waits for the connection any more, so nobody would close it.
            connection.close();
        }
    }

    private PlantainferryException unreachable(String address, Throwable cause) {
        return new PlantainferryException(
                mUnavailableCode,
                "cannot connect to " + address + ": " + cause.getMessage(),
                Verdict.NOT_RUN,
                0,
                cause);
    }
}
