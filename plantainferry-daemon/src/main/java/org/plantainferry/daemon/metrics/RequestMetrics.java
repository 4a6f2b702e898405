package org.plantainferry.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.daemon.http.RequestTracker;
import org.plantainferry.daemon.traffic.CallerAnswer;
import org.plantainferry.daemon.traffic.CallerRequest;

/**
 * Counts and times requests for each workspace and class.
 *
 * <p>Label values come from the configuration only, so callers cannot enlarge the label sets.
 *
 * @since 0.1
 */
public final class RequestMetrics implements RequestTracker {
    private static final Duration[] DURATION_BUCKETS = {
        Duration.ofMillis(1),
        Duration.ofMillis(2),
        Duration.ofMillis(5),
        Duration.ofMillis(10),
        Duration.ofMillis(20),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5)
    };

    private final MeterRegistry mRegistry;
    private final AtomicInteger mInProgress = new AtomicInteger();
    private final Map<DurationLabels, Timer> mTimers = new ConcurrentHashMap<>();
    private final Map<RequestLabels, Counter> mCounters = new ConcurrentHashMap<>();

    /** Creates the meters in a registry. */
    public RequestMetrics(MeterRegistry registry) {
        mRegistry = registry;
        Gauge.builder("plantainferry.requests.in.progress", mInProgress, AtomicInteger::get)
                .description("Requests whose answer has not been handed to the connection")
                .register(registry);
    }

    /** Returns the number of requests without a final answer. */
    public int inProgress() {
        return mInProgress.get();
    }

    @Override
    public TrackedRequest start(CallerRequest request, long nowNanos) {
        mInProgress.incrementAndGet();
        return (answer, endNanos) -> finish(request, answer, endNanos - nowNanos);
    }

    private void finish(CallerRequest request, CallerAnswer answer, long elapsedNanos) {
        mInProgress.decrementAndGet();
        DurationLabels series = new DurationLabels(request.workspace(), request.kind());
        mTimers.computeIfAbsent(series, this::newTimer).record(elapsedNanos, TimeUnit.NANOSECONDS);
        RequestLabels outcome =
                new RequestLabels(request.workspace(), answer.verdict(), answer.status());
        mCounters.computeIfAbsent(outcome, this::newCounter).increment();
    }

    private Timer newTimer(DurationLabels series) {
        return Timer.builder("plantainferry.request.duration")
                .description("Time from arrival to answer")
                .tag("workspace", series.workspace().value())
                .tag("class", series.kind().wireName())
                .serviceLevelObjectives(DURATION_BUCKETS)
                .register(mRegistry);
    }

    private Counter newCounter(RequestLabels outcome) {
        return Counter.builder("plantainferry.requests")
                .description("Answered requests")
                .tag("workspace", outcome.workspace().value())
                .tag("verdict", outcome.verdict().name())
                .tag("status", Integer.toString(outcome.status()))
                .register(mRegistry);
    }

    private record DurationLabels(WorkspaceName workspace, StatementKind kind) {}

    private record RequestLabels(WorkspaceName workspace, Verdict verdict, int status) {}
}
