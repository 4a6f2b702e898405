package org.plantainferry.verification.load;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs the callers of a plan.
 *
 * @since 0.1
 */
public final class LoadRunner {
    // Past the end, time for answers in flight.
    private static final long RESPONSE_GRACE_MILLIS = 200;

    private final EventLoopGroup mEventLoopGroup;

    /** Creates a runner whose callers are spread over event loops that the caller owns. */
    public LoadRunner(EventLoopGroup group) {
        mEventLoopGroup = group;
    }

    /** Runs a plan to its end and returns what was measured after the warm-up. */
    public LoadReport run(LoadPlan plan) throws InterruptedException {
        LoadRecorder recorder = new LoadRecorder();
        List<LoadCaller> callers = new ArrayList<>();
        long start = System.nanoTime();
        for (int number = 0; number < plan.callers(); number++) {
            callers.add(
                    new LoadCaller(plan, number, mEventLoopGroup.next().next(), recorder, start));
        }
        callers.forEach(LoadCaller::start);
        TimeUnit.MILLISECONDS.sleep(
                plan.warmUpMillis() + plan.durationMillis() + RESPONSE_GRACE_MILLIS);
        LoadReport report =
                recorder.createReport(TimeUnit.MILLISECONDS.toNanos(plan.durationMillis()));
        callers.forEach(LoadCaller::close);
        return report;
    }
}
