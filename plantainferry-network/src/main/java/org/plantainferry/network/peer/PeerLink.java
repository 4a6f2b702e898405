package org.plantainferry.network.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.network.http.SocketAddresses;
import org.plantainferry.network.peer.generated.PeerMessage;

/**
 * Maintains the single outgoing connection to a peer.
 *
 * <p>All state except the count of pending messages and the flags for other threads is confined to
 * one event loop, so a message is in exactly one state: written, waiting or rejected.
 */
final class PeerLink {
    private static final long UNUSED_LINK_NANOS = TimeUnit.SECONDS.toNanos(60);
    // A connection on which calls time out and no answer arrives for this long is considered
    // broken: TCP alone takes minutes to detect a partition, and as long to recover after it ends.
    private static final long MAX_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);
    // A connection that the peer closes within this time counts as a failed attempt to connect.
    private static final long SHORT_CONNECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String mAddress;
    private final InetSocketAddress mRemoteAddress;
    private final EventLoop mEventLoop;
    private final Connector mConnector;
    private final int mMaximumPending;
    private final AtomicInteger mPendingCount = new AtomicInteger();

    // The fields below are confined to the event loop.
    private final Map<Long, PendingCall> mPendingCalls = new HashMap<>();
    private final Deque<PeerMessage> mWaitingMessages = new ArrayDeque<>();
    private final PeerBackoff mBackoff = new PeerBackoff();
    private Channel mConnectingChannel;
    private Channel mReadyChannel;
    private long mReadyAtNanos;
    private boolean mAwaitingAnswer;
    private long mNoAnswerSinceNanos;

    private volatile boolean mConnecting;
    private volatile boolean mConnected;
    private volatile boolean mClosed;
    private volatile long mLastUsedNanos = System.nanoTime();

    /** Opens a connection to the peer of a link. */
    interface Connector {
        ChannelFuture connect(PeerLink link, InetSocketAddress remote);
    }

    PeerLink(String address, EventLoop eventLoop, Connector connector, int maximumPending) {
        mAddress = address;
        mRemoteAddress = SocketAddresses.parse(address);
        mEventLoop = eventLoop;
        mConnector = connector;
        mMaximumPending = maximumPending;
    }

    EventLoop eventLoop() {
        return mEventLoop;
    }

    /** Returns whether the link can be removed; messages sent later are still delivered. */
    boolean isUnused() {
        return !mConnected
                && !mConnecting
                && mPendingCount.get() == 0
                && System.nanoTime() - mLastUsedNanos > UNUSED_LINK_NANOS;
    }

    void send(PeerMessage message) {
        if (!reservePending()) {
            return;
        }
        try {
            mEventLoop.execute(() -> dispatch(message));
        } catch (RejectedExecutionException e) {
            mPendingCount.decrementAndGet();
        }
    }

    CompletableFuture<PeerMessage> call(PeerMessage message, long timeoutMillis) {
        CompletableFuture<PeerMessage> result = new CompletableFuture<>();
        if (!reservePending()) {
            result.completeExceptionally(unavailable("too many messages are waiting"));
            return result;
        }
        try {
            mEventLoop.execute(() -> startCall(message, timeoutMillis, result));
        } catch (RejectedExecutionException e) {
            mPendingCount.decrementAndGet();
            result.completeExceptionally(unavailable("the transport is closed"));
        }
        return result;
    }

    void close() {
        mClosed = true;
        try {
            mEventLoop.execute(
                    () -> {
                        rejectWaiting("the transport is closed");
                        if (mConnectingChannel != null) {
                            mConnectingChannel.close();
                            onConnectFailed("the transport is closed");
                        }
                        if (mReadyChannel != null) {
                            mReadyChannel.close();
                        }
                    });
        } catch (RejectedExecutionException e) {
            // The event loop has terminated and has closed all its connections.
            mConnected = false;
        }
    }

    void onReady(Channel channel) {
        if (channel != mConnectingChannel) {
            channel.close();
            return;
        }
        mConnectingChannel = null;
        mConnecting = false;
        mReadyChannel = channel;
        mConnected = true;
        mReadyAtNanos = System.nanoTime();
        mAwaitingAnswer = false;
        for (PeerMessage message = mWaitingMessages.poll();
                message != null;
                message = mWaitingMessages.poll()) {
            write(message);
        }
    }

    void onAnswer(Channel channel, PeerMessage answer) {
        if (channel != mReadyChannel) {
            return;
        }
        mBackoff.recordSuccess();
        // A late answer matches no pending call and is dropped; call numbers are never reused.
        PendingCall call = mPendingCalls.remove(answer.getCall());
        mAwaitingAnswer = !mPendingCalls.isEmpty();
        mNoAnswerSinceNanos = System.nanoTime();
        if (call != null) {
            mPendingCount.decrementAndGet();
            call.complete(answer);
        }
    }

    void onClosed(Channel channel, String reason) {
        if (channel == mConnectingChannel) {
            onConnectFailed(reason);
        }
        if (channel != mReadyChannel) {
            return; // A previous connection, which the link has already abandoned.
        }
        mReadyChannel = null;
        mConnected = false;
        long nowNanos = System.nanoTime();
        if (nowNanos - mReadyAtNanos < SHORT_CONNECTION_NANOS) {
            mBackoff.recordFailure(nowNanos);
        } else {
            mBackoff.recordSuccess();
        }
        List<PendingCall> failedCalls = new ArrayList<>(mPendingCalls.values());
        mPendingCalls.clear();
        mPendingCount.addAndGet(-failedCalls.size());
        failedCalls.forEach(call -> call.fail(mAddress + ": " + reason));
    }

    private boolean reservePending() {
        mLastUsedNanos = System.nanoTime();
        if (mPendingCount.incrementAndGet() <= mMaximumPending) {
            return true;
        }
        mPendingCount.decrementAndGet();
        return false;
    }

    private void startCall(
            PeerMessage message, long timeoutMillis, CompletableFuture<PeerMessage> result) {
        long callNumber = message.getCall();
        mPendingCalls.put(
                callNumber,
                new PendingCall(
                        result,
                        mEventLoop.schedule(
                                () -> onCallTimeout(callNumber, timeoutMillis),
                                timeoutMillis,
                                TimeUnit.MILLISECONDS)));
        dispatch(message);
    }

    private void dispatch(PeerMessage message) {
        if (mClosed) {
            reject(message, "the transport is closed");
        } else if (mReadyChannel != null) {
            write(message);
        } else if (mConnecting) {
            mWaitingMessages.add(message);
        } else if (mBackoff.isWaiting(System.nanoTime())) {
            reject(message, "waiting before the next attempt to connect");
        } else {
            mWaitingMessages.add(message);
            connect();
        }
    }

    private void connect() {
        mConnecting = true;
        ChannelFuture attempt = mConnector.connect(this, mRemoteAddress);
        mConnectingChannel = attempt.channel();
        attempt.addListener(
                (ChannelFuture done) -> {
                    if (!done.isSuccess() && done.channel() == mConnectingChannel) {
                        onConnectFailed(String.valueOf(done.cause().getMessage()));
                    }
                });
    }

    private void onConnectFailed(String reason) {
        mConnectingChannel = null;
        mConnecting = false;
        mBackoff.recordFailure(System.nanoTime());
        rejectWaiting(reason);
    }

    private void write(PeerMessage message) {
        PendingCall call = mPendingCalls.get(message.getCall());
        if (message.getCall() != 0 && call == null) {
            return; // The call timed out while it was waiting for the connection.
        }
        if (!mReadyChannel.isWritable()) {
            reject(message, "the peer does not read");
            return;
        }
        if (call == null) {
            mReadyChannel
                    .writeAndFlush(message)
                    .addListener(done -> mPendingCount.decrementAndGet());
            return;
        }
        call.markWritten();
        if (!mAwaitingAnswer) {
            mAwaitingAnswer = true;
            mNoAnswerSinceNanos = System.nanoTime();
        }
        Channel channel = mReadyChannel;
        channel.writeAndFlush(message)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                detachAndClose(channel, "the message cannot be written");
                            }
                        });
    }

    private void onCallTimeout(long callNumber, long timeoutMillis) {
        PendingCall call = mPendingCalls.remove(callNumber);
        if (call == null) {
            return;
        }
        mPendingCount.decrementAndGet();
        mWaitingMessages.removeIf(message -> message.getCall() == callNumber);
        call.fail(mAddress + ": no answer within " + timeoutMillis + " ms");
        if (call.isWritten()
                && mReadyChannel != null
                && mAwaitingAnswer
                && System.nanoTime() - mNoAnswerSinceNanos > MAX_SILENCE_NANOS) {
            detachAndClose(mReadyChannel, "the peer is silent");
        }
    }

    // Detaches the connection before closing it, which can take a while, so that messages sent in
    // the meantime use a new connection.
    private void detachAndClose(Channel channel, String reason) {
        onClosed(channel, reason);
        channel.close();
    }

    private void rejectWaiting(String reason) {
        for (PeerMessage message = mWaitingMessages.poll();
                message != null;
                message = mWaitingMessages.poll()) {
            reject(message, reason);
        }
    }

    private void reject(PeerMessage message, String reason) {
        PendingCall call = mPendingCalls.remove(message.getCall());
        if (message.getCall() == 0 || call != null) {
            mPendingCount.decrementAndGet();
        }
        if (call != null) {
            call.fail(mAddress + ": " + reason);
        }
    }

    private PlantainferryException unavailable(String reason) {
        return new PlantainferryException(ErrorCode.PEER_UNAVAILABLE, mAddress + ": " + reason);
    }
}
