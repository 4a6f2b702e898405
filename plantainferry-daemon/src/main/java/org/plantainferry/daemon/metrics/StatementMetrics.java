package org.plantainferry.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainferry.api.ServiceName;
import org.plantainferry.daemon.traffic.StatementCounter;

/**
 * Counts the statements that ran at primaries and replicas of each service.
 *
 * @since 0.1
 */
public final class StatementMetrics implements StatementCounter {
    private final MeterRegistry mRegistry;
    private final Map<StatementLabels, Counter> mCounters = new ConcurrentHashMap<>();

    /** Creates the meters in a registry as services are used. */
    public StatementMetrics(MeterRegistry registry) {
        mRegistry = registry;
    }

    @Override
    public void count(ServiceName service, String role) {
        mCounters.computeIfAbsent(new StatementLabels(service, role), this::newCounter).increment();
    }

    private Counter newCounter(StatementLabels series) {
        return Counter.builder("plantainferry.statements")
                .description("Statements that ran, by the role of the server")
                .tag("service", series.service().value())
                .tag("role", series.role())
                .register(mRegistry);
    }

    private record StatementLabels(ServiceName service, String role) {}
}
