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
 * Forwards the bytes of one direction of a connection in order, after the delay, and holds them
 * during a cut.
 *
 * <p>Both channels of a connection share one event loop, and all methods run on it.
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
        // One side reset the connection; channelInactive follows and closes the other side.
        context.close();
    }

    /** Forwards the chunks whose delay has passed; also called when a cut has been healed. */
    void forwardDueChunks() {
        while (!mQueue.isEmpty() && !mConnection.isCut()) {
            long waitNanos = mQueue.peek().dueNanos() - System.nanoTime();
            if (waitNanos > 0) {
                scheduleForwarding(waitNanos);
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

    /** Discards the queued bytes; called when the relay closes. */
    void discardQueue() {
        mQueue.forEach(chunk -> chunk.bytes().release());
        mQueue.clear();
    }

    private void enqueue(ByteBuf bytes, boolean isEnd) {
        long dueNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mConnection.delayMillis());
        boolean isFirst = mQueue.isEmpty();
        mQueue.add(new Chunk(dueNanos, bytes, isEnd));
        if (isFirst) {
            forwardDueChunks();
        }
    }

    private void forward(Chunk chunk) {
        if (chunk.isEnd()) {
            // Closing immediately would drop bytes that have not been written to the socket yet.
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
