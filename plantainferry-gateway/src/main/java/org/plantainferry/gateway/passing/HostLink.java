package org.plantainferry.gateway.passing;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.engine.hosting.HostHealth;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.PeerListener;
import org.plantainferry.gateway.peer.generated.PassedAnswer;
import org.plantainferry.gateway.peer.generated.PassedEnd;
import org.plantainferry.gateway.peer.generated.PassedOperation;
import org.plantainferry.gateway.peer.generated.PassedStep;
import org.plantainferry.gateway.peer.generated.PassingMessage;
import org.plantainferry.network.http.SocketAddresses;
import org.plantainferry.network.http.TcpKeepAlive;

/**
 * Passes operations to one host over one connection.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 *
 * @since 0.4
 */
public final class HostLink {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final long GREETING_TIMEOUT_MILLIS = 500;
    private static final long SILENCE_CHECK_MILLIS = 100;
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int MAX_AWAITED_BYTES = 4 * 1024 * 1024;

    private final EventLoop mLoop;
    private final String mInstance;
    private final String mHost;
    private final HostHealth mHealth;
    private final LongSupplier mClock;
    private final Map<Long, PassedOperationListener> mOperations = new LinkedHashMap<>();
    // The size of the message of each operation whose answer is awaited.
    private final Map<Long, Integer> mAwaited = new HashMap<>();
    private Optional<Channel> mChannel = Optional.empty();
    private long mAwaitedBytes;
    private long mLastNumber;
    private long mLastUseNanos;
    private long mNewestStamp;
    private long mStampReceivedNanos;
    private boolean mGreeted;
    private boolean mEnded;
    private boolean mChecking;
    private boolean mClosesWhenUnused;

    HostLink(EventLoop loop, String instance, String host, HostHealth health, LongSupplier clock) {
        mLoop = loop;
        mInstance = instance;
        mHost = host;
        mHealth = health;
        mClock = clock;
    }

    /** Returns the name of the other instance. */
    public String host() {
        return mHost;
    }

    /** Connects and waits for the greeting, without blocking. */
    void open(String localAddress, String address) {
        mHealth.onOpening();
        mLastUseNanos = mClock.getAsLong();
        try {
            connect(localAddress, SocketAddresses.parse(address));
        } catch (PlantainferryException e) {
            // The entry of an instance may come from another writer.
            end(e.getMessage());
        }
    }

    private void connect(String localAddress, InetSocketAddress address) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, PassingChannels.waterMark())
                        .localAddress(new InetSocketAddress(localAddress, 0))
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        PassingChannels.build(channel.pipeline(), new Handler());
                                    }
                                });
        ChannelFuture connecting = TcpKeepAlive.configure(bootstrap).connect(address);
        mChannel = Optional.of(connecting.channel());
        connecting.addListener((ChannelFuture done) -> onConnected(done));
        mLoop.schedule(
                () -> {
                    if (!mGreeted) {
                        end("no greeting");
                    }
                },
                GREETING_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void onConnected(ChannelFuture done) {
        if (!done.isSuccess()) {
            end("not connected");
            return;
        }
        String firstLine = PeerListener.firstLine(PeerListener.STATEMENTS, mInstance);
        Channel channel = done.channel();
        // Written below the encoders, because the first line is not a message. Nothing may follow
        // before the greeting, because the host first moves the connection to another thread.
        channel.pipeline()
                .firstContext()
                .writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), firstLine));
    }

    /** Returns whether another operation may be passed now. */
    boolean isUsable() {
        return !mEnded
                && mHealth.isUsable(mClock.getAsLong())
                && mAwaited.size() < PassingChannels.MAX_AWAITED_OPERATIONS
                && mAwaitedBytes < MAX_AWAITED_BYTES
                && mChannel.filter(Channel::isWritable).isPresent();
    }

    /** Returns whether a message with a content of this size may be passed. */
    public static boolean fits(int contentBytes) {
        return contentBytes <= PassingChannels.MAX_CONTENT_BYTES;
    }

    /**
     * Passes an operation with its first statement.
     *
     * @return the number of the operation on this link
     */
    public long start(PassedOperation operation, PassedOperationListener listener) {
        mLastNumber++;
        mOperations.put(mLastNumber, listener);
        await(mLastNumber, operation.getSerializedSize());
        send(PassingMessage.newBuilder().setOperation(mLastNumber).setStart(operation));
        return mLastNumber;
    }

    /** Passes the next statement of a transaction. */
    public void step(long operation, PassedStep step) {
        await(operation, step.getSerializedSize());
        send(PassingMessage.newBuilder().setOperation(operation).setStep(step));
    }

    /** Ends an operation for which no answer is awaited any more; ignores an unknown one. */
    public void end(long operation, String reason) {
        if (forget(operation) && !mEnded) {
            PassedEnd end = PassedEnd.newBuilder().setReason(reason).build();
            send(PassingMessage.newBuilder().setOperation(operation).setEnd(end));
        }
    }

    /** Forgets an operation that has ended at the host; returns whether it was known. */
    public boolean forget(long operation) {
        stopAwaiting(operation);
        boolean isKnown = mOperations.remove(operation) != null;
        if (mClosesWhenUnused) {
            // After this call, because the end of the operation may still be sent.
            mLoop.execute(this::closeWhenUnused);
        }
        return isKnown;
    }

    private void await(long operation, int bytes) {
        long now = mClock.getAsLong();
        mLastUseNanos = now;
        mAwaited.put(operation, bytes);
        mAwaitedBytes += bytes;
        mHealth.onAwaiting(now);
        if (!mChecking) {
            mChecking = true;
            scheduleSilenceCheck();
        }
    }

    private void stopAwaiting(long operation) {
        Integer bytes = mAwaited.remove(operation);
        if (bytes != null) {
            mAwaitedBytes -= bytes;
        }
        if (mAwaited.isEmpty()) {
            mHealth.onNothingAwaited();
        }
    }

    private void send(PassingMessage.Builder message) {
        long heldNanos = mClock.getAsLong() - mStampReceivedNanos;
        message.setStamp(mNewestStamp)
                .setHeldMicros(Math.max(0, TimeUnit.NANOSECONDS.toMicros(heldNanos)));
        Channel channel = mChannel.orElseThrow();
        channel.writeAndFlush(message.build(), channel.voidPromise());
    }

    private void scheduleSilenceCheck() {
        mLoop.schedule(this::checkSilence, SILENCE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void checkSilence() {
        if (mEnded || mAwaited.isEmpty()) {
            mChecking = false;
            return;
        }
        scheduleSilenceCheck();
        if (mHealth.fallsSilent(mClock.getAsLong())) {
            GatewayEvent.HOST_AVOIDED.log(mHost, "no sign of life", mAwaited.size());
            for (Long operation : List.copyOf(mAwaited.keySet())) {
                Optional.ofNullable(mOperations.get(operation))
                        .ifPresent(PassedOperationListener::onSilence);
            }
        }
    }

    /** Closes the link if it has not been used for some time. */
    void closeIfIdle() {
        boolean isIdle = mClock.getAsLong() - mLastUseNanos > MAX_IDLE_NANOS;
        if (!mEnded && isIdle && mOperations.isEmpty()) {
            close();
        }
    }

    /** Closes the link as soon as it has no operation. */
    void closeWhenUnused() {
        mClosesWhenUnused = true;
        if (mOperations.isEmpty()) {
            close();
        }
    }

    /** Closes the link; its operations are not told. */
    void close() {
        if (!mEnded) {
            mEnded = true;
            mHealth.onClosed();
            mChannel.ifPresent(Channel::close);
        }
    }

    boolean isEnded() {
        return mEnded;
    }

    private void end(String reason) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        long avoidedNanos = mHealth.onFailure(mClock.getAsLong());
        GatewayEvent.HOST_LOST.log(
                mHost, reason, mAwaited.size(), TimeUnit.NANOSECONDS.toMillis(avoidedNanos));
        mChannel.ifPresent(Channel::close);
        List<PassedOperationListener> listeners = List.copyOf(mOperations.values());
        mOperations.clear();
        mAwaited.clear();
        listeners.forEach(PassedOperationListener::onLost);
    }

    private void onMessage(PassingMessage message) {
        long now = mClock.getAsLong();
        mHealth.onSign(now);
        mNewestStamp = message.getStamp();
        mStampReceivedNanos = now;
        switch (message.getContentCase()) {
            case GREETING -> onGreeting(message, now);
            case ANSWER -> onAnswer(message.getOperation(), message.getAnswer());
            case REFUSAL -> {
                PassedOperationListener listener = mOperations.get(message.getOperation());
                if (forget(message.getOperation())) {
                    listener.onRefusal(message.getRefusal().getReason());
                }
            }
            case FAREWELL -> {
                GatewayEvent.HOST_LEAVING.log(mHost);
                mHealth.onLeaving();
            }
            default -> {
                // A sign of life, or content that only a later version knows.
            }
        }
    }

    private void onGreeting(PassingMessage message, long now) {
        if (!PassingChannels.isUnderstood(message)) {
            end("other version");
        } else if (!mGreeted) {
            mGreeted = true;
            mHealth.onEstablished(now);
            send(PassingChannels.greeting(mInstance));
        }
    }

    private void onAnswer(long operation, PassedAnswer answer) {
        stopAwaiting(operation);
        PassedOperationListener listener = mOperations.get(operation);
        if (answer.getEnded()) {
            forget(operation);
        }
        if (listener != null) {
            listener.onAnswer(answer);
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<PassingMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, PassingMessage message) {
            if (!mEnded) {
                onMessage(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end("closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset, or an unreadable message.
            end(String.valueOf(cause.getMessage()));
        }
    }
}
