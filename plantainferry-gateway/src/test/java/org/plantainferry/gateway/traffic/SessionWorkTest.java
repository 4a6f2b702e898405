package org.plantainferry.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.processor.WorkLimit;
import org.plantainferry.gateway.processor.LoopDelayProbe;
import org.testng.annotations.Test;

/**
 * Guards against operations that wait until their deadline in an instance that has no processor
 * time for them.
 */
public final class SessionWorkTest {
    private static final long PROBE_MILLIS = 50;
    private static final long LATE_MILLIS = 300;
    private static final DatabaseRoute ROUTE =
            new DatabaseRoute("db", "svc", ReadGuarantee.PRIMARY, 0, 1_000, 200, 1, false);

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final WorkLimit mLimit = new WorkLimit();
    private long mNowNanos;
    private final LoopDelayProbe mProbe =
            new LoopDelayProbe(mChannel.eventLoop(), "traffic", () -> mNowNanos);

    private SessionWork session() {
        return new SessionWork(mLimit, mProbe, () -> mNowNanos);
    }

    /** Lets the event loop run its next measurement with a delay. */
    private void measure(long delayMillis) {
        mProbe.onWork();
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(PROBE_MILLIS + delayMillis);
        mChannel.advanceTimeBy(PROBE_MILLIS, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }

    @Test
    public void refusesFurtherOperationsOnlyWhileTheThreadIsLate() {
        SessionWork first = session();
        SessionWork second = session();
        first.begin(ROUTE);
        measure(LATE_MILLIS);
        assertTrue(second.mayBegin());
        measure(LATE_MILLIS);
        assertFalse(second.mayBegin());
        first.end();
        assertTrue(second.mayBegin());
        second.begin(ROUTE);
        for (int run = 0; run < 5; run++) {
            measure(0);
        }
        assertTrue(first.mayBegin());
    }

    @Test
    public void countsARequestOnceWhoseCallerLeaves() {
        SessionWork session = session();
        session.begin(ROUTE);
        session.end();
        session.end();
        assertEquals(mLimit.inProgress(), 0);
    }
}
