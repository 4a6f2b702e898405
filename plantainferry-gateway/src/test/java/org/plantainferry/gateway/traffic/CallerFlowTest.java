package org.plantainferry.gateway.traffic;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import org.plantainferry.engine.memory.Holding;
import org.testng.annotations.Test;

/**
 * Guards against callers inside the limits that are closed, or hold up others, while they are not
 * read from because their own statements wait for a server.
 */
public final class CallerFlowTest {
    private static final long BUDGET_BYTES = 12_000_000;
    // Above the low mark, and leaves room for one turn.
    private static final long HELD_BYTES = 9_200_000;
    private static final int PART_BYTES = 100_000;

    private final EmbeddedChannel mFirst = new EmbeddedChannel();
    private final EmbeddedChannel mSecond = new EmbeddedChannel();
    private final TrafficMetrics mMetrics = new TrafficMetrics(new SimpleMeterRegistry());
    private final ConnectionMemory mMemory =
            new ConnectionMemory(mFirst.eventLoop(), BUDGET_BYTES, mMetrics);

    private CallerFlow flow(EmbeddedChannel channel) {
        TrafficContext context =
                new TrafficContext(
                        channel.eventLoop(), null, null, null, mMetrics, null, mMemory, 1, null);
        return new CallerFlow(channel, context, new CallerWriter(null, channel), () -> {});
    }

    @Test
    public void takesNoTurnWhileItsStatementsLeaveNoRoomForMore() {
        CallerFlow first = flow(mFirst);
        CallerFlow second = flow(mSecond);
        mMemory.hold(mMemory.open(second), Holding.QUEUED, HELD_BYTES);
        first.onQueued(0, true);
        first.onPartialMessage(PART_BYTES);
        second.onPartialMessage(PART_BYTES);
        assertTrue(mSecond.config().isAutoRead(), "the second caller has the turn");
        first.onQueued(0, false);
        assertTrue(mFirst.config().isAutoRead(), "the first caller is read from again");
        first.onPartialMessage(PART_BYTES + 1);
        assertFalse(mFirst.config().isAutoRead(), "the first caller waits for its turn");
    }
}
