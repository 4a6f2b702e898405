package org.plantainferry.verification.load;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs load plans.
 *
 * @since 0.1
 */
public final class LoadRunner {
    // Lets the responses to requests in flight arrive after the measured period.
    private static final long RESPONSE_GRACE_MILLIS = 200;

    private final EventLoopGroup mEventLoopGroup;

    /**
     * Creates a runner that spreads its callers over the event loops of a group, which stays open.
     */
    public LoadRunner(EventLoopGroup eventLoopGroup) {
        mEventLoopGroup = eventLoopGroup;
    }

    /** Runs a plan, blocks until it ends and returns the results without the warm-up. */
    public LoadReport run(LoadPlan plan) throws InterruptedException {
        LoadRecorder recorder = new LoadRecorder();
        List<LoadCaller> callers = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int callerIndex = 0; callerIndex < plan.callers(); callerIndex++) {
            callers.add(
                    new LoadCaller(
                            plan,
                            callerIndex,
                            mEventLoopGroup.next().next(),
                            recorder,
                            startNanos));
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
