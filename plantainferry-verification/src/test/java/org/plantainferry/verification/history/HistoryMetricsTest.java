package org.plantainferry.verification.history;

import static org.plantainferry.verification.history.HistoryBuilder.refused;
import static org.plantainferry.verification.history.HistoryBuilder.succeeded;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Guards against measures that look better than the history is. */
public class HistoryMetricsTest {
    @Test
    public void measuresFailoverGapUntilNextWriteAndUntilEndOfHistory() {
        HistoryBuilder history =
                new HistoryBuilder()
                        .call(Operation.WRITE, "PUT k k:1", 900, 950, succeeded("OK", 1, 1))
                        .event(HistoryEvent.Kind.PRIMARY_FAULT, "ledger-1", 1_000, 0)
                        .call(Operation.WRITE, "PUT k k:2", 1_100, 3_000, succeeded("OK", 2, 3));
        assertEquals(
                new HistoryMetrics(history.build()).failoverGapsSeconds(),
                List.of(Map.entry("ledger-1", 2.0)));
        history.call(Operation.READ, "GET k", 9_000, 10_000, succeeded("k:2", 2, 3));
        assertEquals(
                new HistoryMetrics(history.build()).failoverGapsSeconds(),
                List.of(Map.entry("ledger-1", 7.0)));
    }

    @Test
    public void countsRefusalAsWrongfulOnlyWhenTokensWereAvailable() {
        HistoryBuilder history = new HistoryBuilder().rateLimit(10, 2);
        history.call(Operation.READ, "GET k", 0, 1, succeeded("", 1, 1));
        history.call(Operation.READ, "GET k", 2, 3, succeeded("", 1, 1));
        history.call(Operation.READ, "GET k", 4, 5, refused("NOT_RUN", "RATE_EXCEEDED", 5));
        assertEquals(
                new HistoryMetrics(history.build()).wrongfulRefusalPercents(),
                Map.of("bench", 0.0));
        history.call(Operation.READ, "GET k", 304, 305, refused("NOT_RUN", "RATE_EXCEEDED", 5));
        assertEquals(
                new HistoryMetrics(history.build()).wrongfulRefusalPercents(),
                Map.of("bench", 25.0));
    }

    @Test
    public void countsStaleRefusalAsNeedlessUnlessInstanceWasCutOff() {
        HistoryBuilder history = new HistoryBuilder();
        history.call(
                Operation.READ,
                "GET k",
                9_000,
                9_001,
                refused("NOT_RUN", "CONFIGURATION_STALE", 5));
        assertEquals(new HistoryMetrics(history.build()).needlessStaleRefusals(), 1);
        history.event(HistoryEvent.Kind.INSTANCE_CUT, "como-a-1", 1_000, 0);
        assertEquals(new HistoryMetrics(history.build()).needlessStaleRefusals(), 0);
    }
}
