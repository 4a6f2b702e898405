package org.plantainferry.verification.standin.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Passes the bytes of one direction of a connection on, in order, after the delay and never during
 * a cut.
 *
 * <p>Both channels of a connection have the same event loop, on which everything here runs.
 */
final class RelayDirection extends ChannelInboundHandlerAdapter {
    private static final int MAX_QUEUED_BYTES = 1024 * 1024;

    private record Chunk(long dueNanos, ByteBuf bytes, boolean isEnd) {}

    private final RelayedConnection mConnection;
    private final Channel mInbound;
    private final Channel mOutbound;
    private final Deque<Chunk> mQueue = new ArrayDeque<>();
    private int mQueuedBytes;
    private boolean mForwardingScheduled;

    RelayDirection(RelayedConnection link, Channel from, Channel to) {
        mConnection = link;
        mInbound = from;
        mOutbound = to;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        mQueuedBytes += bytes.readableBytes();
        if (mQueuedBytes > MAX_QUEUED_BYTES) {
            mInbound.config().setAutoRead(false);
        }
        enqueue(bytes, false);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        enqueue(Unpooled.EMPTY_BUFFER, true);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset by one end; channelInactive follows and closes the other end.
        context.close();
    }

    /** Passes on what is due; called again when a cut has been healed. */
    void forwardDueChunks() {
        while (!mQueue.isEmpty() && !mConnection.isCut()) {
            long wait = mQueue.peek().dueNanos() - System.nanoTime();
            if (wait > 0) {
                scheduleForwarding(wait);
                return;
            }
            forward(mQueue.remove());
        }
    }

    private void scheduleForwarding(long waitNanos) {
        if (mForwardingScheduled) {
            return;
        }
        mForwardingScheduled = true;
        mInbound.eventLoop()
                .schedule(
                        () -> {
                            mForwardingScheduled = false;
                            forwardDueChunks();
                        },
                        waitNanos,
                        TimeUnit.NANOSECONDS);
    }

    /** Drops what is queued; used when the relay closes. */
    void discardQueue() {
        mQueue.forEach(chunk -> chunk.bytes().release());
        mQueue.clear();
    }

    private void enqueue(ByteBuf bytes, boolean isEnd) {
        long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mConnection.delayMillis());
        boolean isFirst = mQueue.isEmpty();
        mQueue.add(new Chunk(due, bytes, isEnd));
        if (isFirst) {
            forwardDueChunks();
        }
    }

    private void forward(Chunk chunk) {
        if (chunk.isEnd()) {
            // Closing at once would drop bytes that the socket has not taken yet.
            mOutbound.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            mConnection.deregister();
            return;
        }
        int size = chunk.bytes().readableBytes();
        mOutbound
                .writeAndFlush(chunk.bytes())
                .addListener(
                        (ChannelFutureListener)
                                future -> {
                                    mQueuedBytes -= size;
                                    if (mQueuedBytes <= MAX_QUEUED_BYTES) {
                                        mInbound.config().setAutoRead(true);
                                    }
                                });
    }
}
