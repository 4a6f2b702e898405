package org.plantainferry.gateway.traffic;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.memory.Holding;
import org.plantainferry.engine.memory.MemoryShare;
import org.plantainferry.engine.sessionstate.ServerConnectionState;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.PeerListener;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.ServerMessage;
import org.plantainferry.gateway.statement.SessionMode;
import org.plantainferry.gateway.statement.Statement;
import org.plantainferry.network.http.SocketAddresses;
import org.plantainferry.network.http.TcpKeepAlive;

/**
 * Sends the statements of one workspace to one server, pipelined and in order.
 *
 * <p>Answers are matched to statements by their order. The connection resets itself on an answer
 * that arrives without a request, cannot be parsed or cannot belong to its statement, because the
 * next answer could be matched to the wrong statement. Not thread-safe: used by the traffic thread
 * only.
 */
final class ServerConnection extends SimpleChannelInboundHandler<String> implements MemoryHolder {
    private static final int ROW_OVERHEAD_BYTES = 64;
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final int OPEN_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_CONSOLIDATED_FLUSHES = 64;
    private static final int RESET_ON_CLOSE_SECONDS = 0;

    /** Holds a statement that waits for its answer. */
    private record PendingStatement(Statement statement, Consumer<ServerReply> callback) {}

    private final WireFormat mFormat;
    private final CatalogServer mServer;
    private final String mWorkspace;
    private final ServerConnectionState mState = new ServerConnectionState();
    private final TrafficMetrics mMetrics;
    private final ConnectionMemory mMemory;
    private final AnswerCheck mAnswerCheck = new AnswerCheck();
    private final Deque<PendingStatement> mPendingStatements = new ArrayDeque<>();
    private final List<String> mRows = new ArrayList<>();
    private long mRowCharacters;
    // What a long answer holds; empty while there is none.
    private Optional<MemoryShare<MemoryHolder>> mShare = Optional.empty();
    private Channel mChannel;
    private Consumer<ServerReply> mOpenCallback;
    private ScheduledFuture<?> mOpenTimeout;
    private Runnable mCloseCallback = () -> {};
    private ServerMessage mResult;
    private boolean mClosed;
    private boolean mConnected;
    private boolean mMismatched;
    private boolean mHasUnconfirmedRefusal;
    private long mIdleSinceNanos;
    private boolean mAwaitingStatement;

    ServerConnection(
            WireFormat format,
            CatalogServer server,
            String workspace,
            TrafficMetrics metrics,
            ConnectionMemory memory) {
        mFormat = format;
        mServer = server;
        mWorkspace = workspace;
        mMetrics = metrics;
        mMemory = memory;
    }

    CatalogServer server() {
        return mServer;
    }

    String workspace() {
        return mWorkspace;
    }

    boolean isForWorkspace(String workspace) {
        return mWorkspace.equals(workspace);
    }

    ServerConnectionState state() {
        return mState;
    }

    boolean isOpen() {
        return !mClosed && mChannel != null && mChannel.isActive();
    }

    long idleSinceNanos() {
        return mIdleSinceNanos;
    }

    void setIdleSinceNanos(long nanos) {
        mIdleSinceNanos = nanos;
    }

    /** Returns whether the connection is granted for a statement that was not sent yet. */
    boolean isAwaitingStatement() {
        return mAwaitingStatement;
    }

    void setAwaitingStatement(boolean awaiting) {
        mAwaitingStatement = awaiting;
    }

    void setCloseCallback(Runnable action) {
        mCloseCallback = action;
    }

    /**
     * Opens the connection and the session on the server. The callback runs once.
     *
     * @param relay the address of the instance through which to connect; empty for a direct
     *     connection
     */
    void open(
            EventLoop loop,
            String localAddress,
            Optional<String> relay,
            Consumer<ServerReply> opened) {
        mOpenCallback = opened;
        mOpenTimeout =
                loop.schedule(
                        () -> close("the server did not open the session in time"),
                        OPEN_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .localAddress(new InetSocketAddress(localAddress, 0))
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        // Consolidates the flushes of pipelined lines into fewer
                                        // packets.
                                        channel.pipeline()
                                                .addLast(
                                                        new FlushConsolidationHandler(
                                                                MAX_CONSOLIDATED_FLUSHES, true));
                                        LineCodec.addTo(channel.pipeline());
                                        channel.pipeline().addLast(ServerConnection.this);
                                    }
                                });
        TcpKeepAlive.configure(bootstrap)
                .connect(SocketAddresses.parse(relay.orElse(mServer.address())))
                .addListener((ChannelFuture done) -> onConnected(done, relay.isPresent()));
    }

    private void onConnected(ChannelFuture done, boolean relayed) {
        if (!done.isSuccess()) {
            close("cannot connect: " + done.cause().getMessage());
            return;
        }
        mChannel = done.channel();
        mConnected = true;
        if (mClosed) {
            mChannel.close();
            return;
        }
        if (relayed) {
            write(PeerListener.RELAY + " " + mServer.id());
        }
        write(mFormat.openSession(mServer.service(), mWorkspace, mServer.id()));
    }

    /**
     * Sends a statement. The callback runs once, with the answer or with a reply of kind {@link
     * ServerReply.Kind#LOST} or {@link ServerReply.Kind#MISMATCHED}.
     */
    void send(
            Optional<String> requestId,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<ServerReply> callback) {
        if (!isOpen()) {
            callback.accept(ServerReply.lost("the connection is closed"));
            return;
        }
        mAwaitingStatement &= requestId.isEmpty();
        mPendingStatements.addLast(new PendingStatement(statement, callback));
        write(mFormat.statement(requestId, required, statement));
    }

    private void write(String line) {
        mChannel.writeAndFlush(line + LineCodec.LINE_END, mChannel.voidPromise());
    }

    /** Returns whether the TCP connection was ever established. */
    boolean wasConnected() {
        return mConnected;
    }

    /** Returns the transaction state after the last answer. */
    SessionMode mode() {
        return mAnswerCheck.mode();
    }

    /** Returns whether the connection has received as many signatures as it may remember. */
    boolean isFull() {
        return mAnswerCheck.isFull();
    }

    /**
     * Returns whether the server has refused a statement, and it is not yet known that the refusal
     * was the answer to that statement.
     */
    boolean hasUnconfirmedRefusal() {
        return mHasUnconfirmedRefusal;
    }

    void setRefusalConfirmed() {
        mHasUnconfirmedRefusal = false;
    }

    /** Closes the connection after a time; the returned future cancels this. */
    ScheduledFuture<?> closeAfter(long millis, String reason) {
        return mChannel.eventLoop().schedule(() -> close(reason), millis, TimeUnit.MILLISECONDS);
    }

    boolean hasPendingStatements() {
        return !mPendingStatements.isEmpty();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, String line) {
        ServerMessage message = mFormat.readServerLine(line);
        if (mClosed) {
            return;
        }
        if (mPendingStatements.isEmpty() && mOpenCallback == null) {
            reject("an answer without a request");
        } else if (message instanceof ServerMessage.Ready ready) {
            finish(ready);
        } else if (mResult != null) {
            reject("a line between the result and the end of an answer");
        } else if (message instanceof ServerMessage.Row row) {
            addRow(row.data());
        } else if (message instanceof ServerMessage.Unreadable) {
            reject("a line that cannot be read");
        } else {
            mResult = message;
            failOpenIfRefused();
        }
    }

    private void addRow(String data) {
        mRows.add(data);
        mRowCharacters += data.length() + ROW_OVERHEAD_BYTES;
        if (mRowCharacters > ConnectionMemory.SMALL_BYTES) {
            if (mShare.isEmpty()) {
                mShare = Optional.of(mMemory.open(this));
            }
            mMemory.hold(mShare.get(), Holding.GATHERED, mRowCharacters);
        }
    }

    private void releaseRows() {
        mRows.clear();
        mRowCharacters = 0;
        mShare.ifPresent(mMemory::close);
        mShare = Optional.empty();
    }

    @Override
    public void resumeReceiving() {
        // The answers of servers are received without pauses.
    }

    @Override
    public void updateUnread() {
        // Servers read all that is written.
    }

    @Override
    public void closeForMemory() {
        close("the answer is too long for the memory that is left");
    }

    /**
     * Completes the opening if the server has refused the session, because no further line follows
     * a refusal.
     */
    private void failOpenIfRefused() {
        if (mOpenCallback == null || !(mResult instanceof ServerMessage.Failed failed)) {
            return;
        }
        Consumer<ServerReply> opened = takeOpenCallback();
        ServerReply reply = failure(failed, SessionMode.IDLE, Optional.empty());
        close("the server refused the session");
        opened.accept(reply);
    }

    private Consumer<ServerReply> takeOpenCallback() {
        Consumer<ServerReply> opened = mOpenCallback;
        mOpenCallback = null;
        mOpenTimeout.cancel(false);
        return opened;
    }

    private void finish(ServerMessage.Ready ready) {
        if (mOpenCallback != null) {
            finishOpening(ready);
            return;
        }
        if (mResult == null) {
            reject("the end of an answer without a result");
            return;
        }
        Optional<String> mismatch =
                mAnswerCheck.check(
                        mPendingStatements.getFirst().statement(), mRows, mResult, ready.mode());
        if (mismatch.isPresent()) {
            reject(mismatch.get());
            return;
        }
        ServerReply reply = reply(ready);
        mHasUnconfirmedRefusal |= reply.isFailed();
        mResult = null;
        releaseRows();
        mPendingStatements.removeFirst().callback().accept(reply);
    }

    private void finishOpening(ServerMessage.Ready ready) {
        boolean isOpened = mRows.isEmpty() && mResult == null && ready.mode() == SessionMode.IDLE;
        if (!isOpened) {
            reject("an answer to the opening of the session that is not one");
            return;
        }
        takeOpenCallback().accept(done("", ready));
    }

    private ServerReply reply(ServerMessage.Ready ready) {
        return mResult instanceof ServerMessage.Failed failed
                ? failure(failed, ready.mode(), ready.position())
                : done(((ServerMessage.Done) mResult).signature(), ready);
    }

    /** Closes the connection because of an answer that does not match its statement. */
    private void reject(String reason) {
        reportMismatch(reason);
        mMismatched = true;
        close(ServerReply.mismatched("the server sent " + reason));
    }

    private void reportMismatch(String reason) {
        String statement =
                mPendingStatements.isEmpty()
                        ? "none"
                        : mPendingStatements.getFirst().statement().getClass().getSimpleName();
        GatewayEvent.ANSWER_MISMATCHED.log(mServer.id(), mWorkspace, statement, reason);
        mMetrics.onAnswerMismatched(mServer.id());
    }

    private ServerReply done(String signature, ServerMessage.Ready ready) {
        return new ServerReply(
                ServerReply.Kind.DONE,
                List.copyOf(mRows),
                signature,
                FailureCode.OTHER,
                "",
                ready.mode(),
                ready.position());
    }

    private static ServerReply failure(
            ServerMessage.Failed failed, SessionMode mode, Optional<LogPosition> position) {
        return new ServerReply(
                ServerReply.Kind.FAILED,
                List.of(),
                "",
                failed.code(),
                failed.text(),
                mode,
                position);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        close("the server closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof OutOfMemoryError) {
            mMemory.relieve(cause);
        }
        close("the connection broke: " + cause.getMessage());
    }

    /** Closes the connection. Statements in progress end as lost; a second call does nothing. */
    void close(String reason) {
        close(ServerReply.lost(reason));
    }

    private void close(ServerReply outcome) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        releaseRows();
        if (mChannel != null) {
            closeChannel();
        }
        mCloseCallback.run();
        if (mOpenCallback != null) {
            takeOpenCallback().accept(outcome);
        }
        for (PendingStatement pending = mPendingStatements.pollFirst();
                pending != null;
                pending = mPendingStatements.pollFirst()) {
            pending.callback().accept(outcome);
        }
    }

    /**
     * Closes the channel, with a reset if a statement has no answer: after an ordinary close the
     * operating system would go on to deliver a statement that a network partition holds back. What
     * the server still sends after a mismatch is of no use either.
     */
    private void closeChannel() {
        boolean isAnswerOwed = hasPendingStatements() || mOpenCallback != null;
        if ((isAnswerOwed || mMismatched) && mChannel.isActive()) {
            mChannel.config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE_SECONDS);
        }
        mChannel.close();
    }
}
