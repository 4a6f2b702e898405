package org.plantainferry.gateway.traffic;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.memory.Holding;
import org.plantainferry.engine.memory.MemoryShare;
import org.plantainferry.gateway.log.GatewayEvent;

/**
 * Regulates what is received from one caller, and closes a caller that reads no answers.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class CallerFlow implements MemoryHolder {
    private static final long UNREAD_CHECK_MILLIS = 15_000;
    // A caller that sends statements ahead lets others go first after as many.
    private static final int MAX_STATEMENTS_IN_ROW = 64;
    private static final String UNREAD = "unread-answers";

    private final Channel mChannel;
    private final ConnectionMemory mMemory;
    private final MemoryShare<MemoryHolder> mShare;
    private final CallerWriter mWriter;
    private final TrafficMetrics mMetrics;
    private final Runnable mWork;
    private boolean mQueueFull;
    private boolean mAwaitsTurn;
    private boolean mEmissionPending;
    private boolean mWorkWaits;
    private int mStatementsInRow;
    private boolean mClosed;
    private ScheduledFuture<?> mUnreadCheck;
    private long mTakenBytes;

    /**
     * Begins to regulate a connection.
     *
     * @param work runs the statements that wait, called when the caller has read its answers
     */
    CallerFlow(Channel channel, TrafficContext traffic, CallerWriter writer, Runnable work) {
        mChannel = channel;
        mMemory = traffic.memory();
        mShare = mMemory.open(this);
        mWriter = writer;
        mMetrics = traffic.metrics();
        mWork = work;
        writer.setUnreadListener(this::updateUnread);
    }

    /** Receives the number of bytes that the decoder holds. */
    void onPartialMessage(int bytes) {
        mMemory.hold(mShare, Holding.RECEIVED, bytes);
        // A turn is of no use to a caller that is not read from, and would run out.
        boolean needsTurn = bytes > ConnectionMemory.SMALL_BYTES && !mQueueFull;
        if (needsTurn && !mMemory.mayReceive(mShare)) {
            mAwaitsTurn = true;
            updateReading();
        }
    }

    /** Receives the size of the requests that wait or run, and whether no more may wait. */
    void onQueued(long bytes, boolean isFull) {
        // The requests of most callers are not worth counting.
        if (bytes > ConnectionMemory.SMALL_BYTES || mShare.bytes(Holding.QUEUED) > 0) {
            mMemory.hold(mShare, Holding.QUEUED, bytes);
        }
        if (mQueueFull != isFull) {
            mQueueFull = isFull;
            updateReading();
        }
    }

    /** Receives the size of the values and prepared statements of the session. */
    void onSessionState(long bytes) {
        mMemory.hold(mShare, Holding.SESSION, bytes);
    }

    /**
     * Returns whether the next statement may start now. Otherwise the waiting statements are run
     * later: after other callers, or when the caller has read its answers.
     */
    boolean mayStart() {
        if (!mayWork()) {
            return false;
        }
        mStatementsInRow++;
        if (mStatementsInRow == MAX_STATEMENTS_IN_ROW) {
            mChannel.eventLoop().execute(this::endRow);
        }
        return mStatementsInRow <= MAX_STATEMENTS_IN_ROW;
    }

    private void endRow() {
        mStatementsInRow = 0;
        mWork.run();
    }

    /** Returns whether the caller has read so much that its next statement may run. */
    private boolean mayWork() {
        long unread = mShare.bytes(Holding.UNREAD);
        mWorkWaits = unread > 0 && unread > mMemory.unreadLimitBytes();
        if (mWorkWaits) {
            mMemory.scheduleTick();
        }
        return !mWorkWaits;
    }

    @Override
    public void updateUnread() {
        long unread = mWriter.unreadBytes();
        if (unread == 0 && mShare.bytes(Holding.UNREAD) == 0) {
            return;
        }
        mMemory.hold(mShare, Holding.UNREAD, unread);
        if (unread > 0 && mUnreadCheck == null && !mClosed) {
            mTakenBytes = mWriter.takenBytes();
            mUnreadCheck =
                    mChannel.eventLoop()
                            .schedule(
                                    this::checkUnread, UNREAD_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
        if (mWorkWaits && mayWork()) {
            mChannel.eventLoop().execute(mWork);
        }
    }

    /** Closes the connection if the caller has read nothing since the last check. */
    private void checkUnread() {
        mUnreadCheck = null;
        if (mWriter.unreadBytes() > 0 && mWriter.takenBytes() - mTakenBytes <= 0) {
            GatewayEvent.CALLER_NOT_READING.log(mWriter.unreadBytes());
            mMetrics.onCallerClosed(UNREAD);
            mChannel.close();
            return;
        }
        updateUnread();
    }

    private void updateReading() {
        boolean isReading = !mQueueFull && !mAwaitsTurn && !mClosed;
        if (mChannel.config().isAutoRead() == isReading) {
            return;
        }
        mChannel.config().setAutoRead(isReading);
        if (isReading && !mEmissionPending) {
            // Lines that arrived before the pause come first.
            mEmissionPending = true;
            mChannel.eventLoop().execute(this::emitHeldLines);
        }
    }

    private void emitHeldLines() {
        mEmissionPending = false;
        LineCodec.emitHeldLines(mChannel.pipeline());
    }

    /** Returns whether requests may have been received that are not in the queue yet. */
    boolean holdsRequests() {
        return mQueueFull || mEmissionPending;
    }

    @Override
    public void resumeReceiving() {
        mAwaitsTurn = false;
        updateReading();
    }

    @Override
    public void closeForMemory() {
        mChannel.close();
    }

    /** Stops receiving; what is unread still counts until the connection has ended. */
    void stopReceiving() {
        mClosed = true;
        updateReading();
    }

    /** Gives back all that the connection held. */
    void end() {
        mClosed = true;
        if (mUnreadCheck != null) {
            mUnreadCheck.cancel(false);
        }
        mMemory.close(mShare);
    }
}
