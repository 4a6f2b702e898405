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
 * Keeps the one outgoing connection to a peer.
 *
 * <p>Everything but the bound on pending messages belongs to one event loop, so that a message is
 * either written, waiting or refused, and never two of these.
 */
final class PeerLink {
    private static final long DISUSED_NANOS = TimeUnit.SECONDS.toNanos(60);
    // A connection on which calls time out and nothing arrives for this long is taken for broken:
    // TCP alone would take minutes to notice a partition, and as long again after its end.
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);
    // A peer that accepts and then closes at once counts as a failure to connect.
    private static final long SHORT_CONNECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String mAddress;
    private final InetSocketAddress mRemote;
    private final EventLoop mLoop;
    private final Connect mConnect;
    private final int mMaximumPending;
    private final AtomicInteger mPendingCount = new AtomicInteger();

    // The fields below belong to the event loop.
    private final Map<Long, PendingCall> mCalls = new HashMap<>();
    private final Deque<PeerMessage> mWaiting = new ArrayDeque<>();
    private final PeerBackoff mBackoff = new PeerBackoff();
    private Channel mAttempt;
    private Channel mReady;
    private long mReadyAtNanos;
    private boolean mSilent;
    private long mSilentSinceNanos;

    private volatile boolean mConnecting;
    private volatile boolean mConnected;
    private volatile boolean mClosed;
    private volatile long mLastUsedNanos = System.nanoTime();

    /** Opens a connection to the peer of a link. */
    interface Connect {
        ChannelFuture connect(PeerLink link, InetSocketAddress remote);
    }

    PeerLink(String address, EventLoop loop, Connect connect, int maximumPending) {
        mAddress = address;
        mRemote = SocketAddresses.parse(address);
        mLoop = loop;
        mConnect = connect;
        mMaximumPending = maximumPending;
    }

    EventLoop eventLoop() {
        return mLoop;
    }

    /** Returns whether the link can be forgotten; a message that still comes works all the same. */
    boolean isDisused() {
        return !mConnected
                && !mConnecting
                && mPendingCount.get() == 0
                && System.nanoTime() - mLastUsedNanos > DISUSED_NANOS;
    }

    void send(PeerMessage message) {
        if (!acquire()) {
            return;
        }
        try {
            mLoop.execute(() -> dispatch(message));
        } catch (RejectedExecutionException e) {
            mPendingCount.decrementAndGet();
        }
    }

    CompletableFuture<PeerMessage> call(PeerMessage message, long timeoutMillis) {
        CompletableFuture<PeerMessage> result = new CompletableFuture<>();
        if (!acquire()) {
            result.completeExceptionally(unavailable("too many messages are waiting"));
            return result;
        }
        try {
            mLoop.execute(() -> startCall(message, timeoutMillis, result));
        } catch (RejectedExecutionException e) {
            mPendingCount.decrementAndGet();
            result.completeExceptionally(unavailable("the transport is closed"));
        }
        return result;
    }

    void close() {
        mClosed = true;
        try {
            mLoop.execute(
                    () -> {
                        refuseWaiting("the transport is closed");
                        if (mAttempt != null) {
                            mAttempt.close();
                            connectFailed("the transport is closed");
                        }
                        if (mReady != null) {
                            mReady.close();
                        }
                    });
        } catch (RejectedExecutionException e) {
            // The event loop has ended, and with it every connection.
            mConnected = false;
        }
    }

    void onReady(Channel channel) {
        if (channel != mAttempt) {
            channel.close();
            return;
        }
        mAttempt = null;
        mConnecting = false;
        mReady = channel;
        mConnected = true;
        mReadyAtNanos = System.nanoTime();
        mSilent = false;
        for (PeerMessage each = mWaiting.poll(); each != null; each = mWaiting.poll()) {
            write(each);
        }
    }

    void onAnswer(Channel channel, PeerMessage answer) {
        if (channel != mReady) {
            return;
        }
        mBackoff.succeed();
        // A late answer finds no call and is dropped; its number is never used again.
        PendingCall call = mCalls.remove(answer.getCall());
        mSilent = !mCalls.isEmpty();
        mSilentSinceNanos = System.nanoTime();
        if (call != null) {
            mPendingCount.decrementAndGet();
            call.complete(answer);
        }
    }

    void onClosed(Channel channel, String reason) {
        if (channel == mAttempt) {
            connectFailed(reason);
        }
        if (channel != mReady) {
            return; // An earlier connection, which was given up already.
        }
        mReady = null;
        mConnected = false;
        long nowNanos = System.nanoTime();
        if (nowNanos - mReadyAtNanos < SHORT_CONNECTION_NANOS) {
            mBackoff.fail(nowNanos);
        } else {
            mBackoff.succeed();
        }
        List<PendingCall> lost = new ArrayList<>(mCalls.values());
        mCalls.clear();
        mPendingCount.addAndGet(-lost.size());
        lost.forEach(call -> call.fail(mAddress + ": " + reason));
    }

    private boolean acquire() {
        mLastUsedNanos = System.nanoTime();
        if (mPendingCount.incrementAndGet() <= mMaximumPending) {
            return true;
        }
        mPendingCount.decrementAndGet();
        return false;
    }

    private void startCall(
            PeerMessage message, long timeoutMillis, CompletableFuture<PeerMessage> result) {
        long number = message.getCall();
        mCalls.put(
                number,
                new PendingCall(
                        result,
                        mLoop.schedule(
                                () -> expire(number, timeoutMillis),
                                timeoutMillis,
                                TimeUnit.MILLISECONDS)));
        dispatch(message);
    }

    private void dispatch(PeerMessage message) {
        if (mClosed) {
            refuse(message, "the transport is closed");
        } else if (mReady != null) {
            write(message);
        } else if (mConnecting) {
            mWaiting.add(message);
        } else if (mBackoff.isWaiting(System.nanoTime())) {
            refuse(message, "waiting before the next attempt to connect");
        } else {
            mWaiting.add(message);
            connect();
        }
    }

    private void connect() {
        mConnecting = true;
        ChannelFuture attempt = mConnect.connect(this, mRemote);
        mAttempt = attempt.channel();
        attempt.addListener(
                (ChannelFuture done) -> {
                    if (!done.isSuccess() && done.channel() == mAttempt) {
                        connectFailed(String.valueOf(done.cause().getMessage()));
                    }
                });
    }

    private void connectFailed(String reason) {
        mAttempt = null;
        mConnecting = false;
        mBackoff.fail(System.nanoTime());
        refuseWaiting(reason);
    }

    private void write(PeerMessage message) {
        PendingCall call = mCalls.get(message.getCall());
        if (message.getCall() != 0 && call == null) {
            return; // The call timed out while it waited for the connection.
        }
        if (!mReady.isWritable()) {
            refuse(message, "the peer does not read");
            return;
        }
        if (call == null) {
            mReady.writeAndFlush(message).addListener(done -> mPendingCount.decrementAndGet());
            return;
        }
        call.markWritten();
        if (!mSilent) {
            mSilent = true;
            mSilentSinceNanos = System.nanoTime();
        }
        Channel channel = mReady;
        channel.writeAndFlush(message)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                abandon(channel, "the message cannot be written");
                            }
                        });
    }

    private void expire(long number, long timeoutMillis) {
        PendingCall call = mCalls.remove(number);
        if (call == null) {
            return;
        }
        mPendingCount.decrementAndGet();
        mWaiting.removeIf(message -> message.getCall() == number);
        call.fail(mAddress + ": no answer within " + timeoutMillis + " ms");
        if (call.isWritten()
                && mReady != null
                && mSilent
                && System.nanoTime() - mSilentSinceNanos > SILENCE_NANOS) {
            abandon(mReady, "the peer is silent");
        }
    }

    // The link forgets the connection before it closes, which may take a while: messages that come
    // meanwhile then go to a new connection.
    private void abandon(Channel channel, String reason) {
        onClosed(channel, reason);
        channel.close();
    }

    private void refuseWaiting(String reason) {
        for (PeerMessage each = mWaiting.poll(); each != null; each = mWaiting.poll()) {
            refuse(each, reason);
        }
    }

    private void refuse(PeerMessage message, String reason) {
        PendingCall call = mCalls.remove(message.getCall());
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
