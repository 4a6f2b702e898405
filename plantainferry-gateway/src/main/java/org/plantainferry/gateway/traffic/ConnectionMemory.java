package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.memory.Holding;
import org.plantainferry.engine.memory.MemoryBudget;
import org.plantainferry.engine.memory.MemoryDecision;
import org.plantainferry.engine.memory.MemoryLimits;
import org.plantainferry.engine.memory.MemoryShare;
import org.plantainferry.gateway.log.GatewayEvent;

/**
 * Counts the memory that the process holds for its connections, and applies what the {@link
 * MemoryBudget} decides. Not thread-safe: used by the traffic thread only.
 */
final class ConnectionMemory {
    /** The size up to which a message is received whatever else is held. */
    static final int SMALL_BYTES = 16 * 1024;

    // A message as bytes, as text, and as bytes again on its way to a server.
    private static final long MESSAGE_BYTES = 3 * 1024 * 1024 / 2;
    private static final long TURN_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long TICK_MILLIS = 100;
    // One caller may leave this part of the budget unread before its statements wait.
    private static final int UNREAD_DIVISOR = 8;
    private static final String OVER_BUDGET = "memory";
    private static final String REFUSED = "refused-memory";

    private final EventLoop mLoop;
    private final MemoryLimits mLimits;
    private final MemoryBudget<MemoryHolder> mBudget;
    private final TrafficMetrics mMetrics;
    private boolean mDecisionScheduled;
    private boolean mTickScheduled;

    ConnectionMemory(EventLoop loop, long budgetBytes, TrafficMetrics metrics) {
        mLoop = loop;
        mLimits =
                new MemoryLimits(
                        Math.max(budgetBytes, 2 * MESSAGE_BYTES),
                        MESSAGE_BYTES,
                        SMALL_BYTES,
                        TURN_NANOS);
        mBudget = new MemoryBudget<>(mLimits);
        mMetrics = metrics;
    }

    MemoryShare<MemoryHolder> open(MemoryHolder holder) {
        return mBudget.open(holder);
    }

    /** Sets what is held for a connection. */
    void hold(MemoryShare<MemoryHolder> share, Holding holding, long bytes) {
        if (share.bytes(holding) == bytes) {
            return;
        }
        share.hold(holding, bytes, System.nanoTime());
        onChange();
    }

    /** Returns all that a connection held. */
    void close(MemoryShare<MemoryHolder> share) {
        share.close();
        onChange();
    }

    /** Returns whether a connection may receive more now; otherwise it is resumed later. */
    boolean mayReceive(MemoryShare<MemoryHolder> share) {
        boolean mayReceive = mBudget.mayReceive(share, System.nanoTime());
        if (!mayReceive) {
            onChange();
        }
        return mayReceive;
    }

    /** Returns how much one caller may leave unread before its statements wait. */
    long unreadLimitBytes() {
        return mBudget.isShort() ? SMALL_BYTES : mLimits.highMarkBytes() / UNREAD_DIVISOR;
    }

    private void onChange() {
        mMetrics.onHeldBytes(mBudget.heldBytes());
        if (mBudget.needsDecision() && !mDecisionScheduled) {
            mDecisionScheduled = true;
            mLoop.execute(this::decide);
        } else if (mBudget.isShort()) {
            scheduleTick();
        }
    }

    /** Updates soon how much is unread. */
    void scheduleTick() {
        if (!mTickScheduled) {
            mTickScheduled = true;
            mLoop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        mTickScheduled = false;
        try {
            decide();
        } finally {
            // Connections that wait are not forgotten after a refusal of memory.
            onChange();
        }
    }

    private void decide() {
        // What was read in the meantime is no reason to close a connection.
        mBudget.owners().forEach(MemoryHolder::updateUnread);
        mDecisionScheduled = false;
        MemoryDecision<MemoryHolder> decision = mBudget.decide(System.nanoTime());
        close(decision.closed(), OVER_BUDGET);
        decision.resumed().forEach(MemoryHolder::resumeReceiving);
    }

    /** Makes room after the process was refused memory. */
    void relieve(Throwable cause) {
        GatewayEvent.MEMORY_REFUSED.log(mBudget.heldBytes(), cause.getMessage());
        close(mBudget.relieve(System.nanoTime()), REFUSED);
    }

    private void close(List<MemoryHolder> holders, String reason) {
        if (holders.isEmpty()) {
            return;
        }
        GatewayEvent.CONNECTIONS_CLOSED_FOR_MEMORY.log(
                holders.size(), reason, mBudget.heldBytes(), mLimits.highMarkBytes());
        holders.forEach(MemoryHolder::closeForMemory);
        holders.forEach(holder -> mMetrics.onCallerClosed(reason));
    }
}
