package org.plantainferry.network.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.Verdict;

/**
 * Opens HTTP connections, optionally bound to a local address.
 *
 * <p>Their end is always a reset, also when the process is killed. After an ordinary close the
 * operating system would go on to deliver a request that a network partition holds back, and the
 * server would run it after the caller has given it up.
 *
 * @since 0.1
 */
public final class HttpConnector {
    private static final int RESET_ON_CLOSE_SECONDS = 0;

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
     * @param connectTimeoutMillis milliseconds to wait for a connection to be established
     * @param maxBodyBytes the maximum size of a response body; a larger one closes its connection
     * @param unavailableCode the code of errors other than a timeout or an invalid argument
     */
    public HttpConnector(
            EventLoopGroup group,
            Optional<InetAddress> localAddress,
            int connectTimeoutMillis,
            int maxBodyBytes,
            ErrorCode unavailableCode) {
        mGroup = Preconditions.notNull(group, "group");
        mLocalAddress = Preconditions.notNull(localAddress, "localAddress");
        Preconditions.condition(connectTimeoutMillis > 0, "connectTimeoutMillis must be positive");
        Preconditions.condition(maxBodyBytes > 0, "maxBodyBytes must be positive");
        mConnectTimeoutMillis = connectTimeoutMillis;
        mMaxBodyBytes = maxBodyBytes;
        mUnavailableCode = Preconditions.notNull(unavailableCode, "unavailable");
    }

    /**
     * Opens a connection without blocking.
     *
     * @param address IP:PORT of the server
     * @return a future of the connection; it fails with the verdict {@code NOT_RUN} when the server
     *     cannot be reached or the address is not IP:PORT
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
                        .option(ChannelOption.SO_LINGER, RESET_ON_CLOSE_SECONDS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new AskedResponseDecoder(connection))
                                                .addLast(new HttpRequestEncoder())
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
            // The caller has completed or cancelled the future and would never close the
            // connection.
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
