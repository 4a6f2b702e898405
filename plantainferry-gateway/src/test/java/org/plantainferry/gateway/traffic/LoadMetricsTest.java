package org.plantainferry.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against waits that operators cannot see, and against series and log lines that grow with
 * the load: a flood of statements, and servers and workspaces that come and go.
 */
public final class LoadMetricsTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private SimpleMeterRegistry mRegistry;
    private LoadMetrics mMetrics;

    @BeforeMethod
    public void createMetrics() {
        mRegistry = new SimpleMeterRegistry();
        mMetrics = new LoadMetrics(mRegistry);
    }

    private static ServerLoad load(String server, int limit, int inProgress) {
        return new ServerLoad(server, limit, inProgress, Map.of(2, 7), 5, 3, 1.5);
    }

    private double value(String name) {
        Meter meter = mRegistry.find(name).meter();
        return meter.measure().iterator().next().getValue();
    }

    /** Counts the lines that are logged while an action runs. */
    private static int countLines(Runnable action, StringBuilder lines) {
        int[] count = new int[1];
        Handler handler =
                new Handler() {
                    @Override
                    public void publish(LogRecord record) {
                        count[0]++;
                        lines.append(record.getMessage()).append('\n');
                    }

                    @Override
                    public void flush() {}

                    @Override
                    public void close() {}
                };
        Logger logger = Logger.getLogger("org.plantainferry.gateway");
        logger.addHandler(handler);
        try {
            action.run();
        } finally {
            logger.removeHandler(handler);
        }
        return count[0];
    }

    @Test
    public void showsRoomAndWaitsOfEachServer() {
        mMetrics.update(List.of(load("s1", 4, 3)), Set.of());
        assertEquals(value("plantainferry.server.room.limit"), 4.0);
        assertEquals(value("plantainferry.server.room.used"), 3.0);
        assertEquals(value("plantainferry.server.waiting"), 7.0);
        assertEquals(value("plantainferry.server.refused.early"), 5.0);
        assertEquals(value("plantainferry.server.displaced"), 3.0);
        assertEquals(value("plantainferry.server.slowness"), 1.5);
        mMetrics.update(List.of(load("s1", Integer.MAX_VALUE, 9)), Set.of());
        assertTrue(Double.isNaN(value("plantainferry.server.room.limit")));
        assertEquals(value("plantainferry.server.room.used"), 9.0);
    }

    @Test
    public void removesSeriesOfServersAndWorkspacesThatAreGone() {
        mMetrics.onSent("r1", "s1", 0, "w1", 5 * MILLI);
        mMetrics.onSent("r2", "s2", 0, "w2", 5 * MILLI);
        mMetrics.onRefused("r3", 0, "w1", "no room");
        mMetrics.update(List.of(load("s1", 4, 3), load("s2", 4, 3)), Set.of("w1", "w2"));
        mMetrics.update(List.of(load("s2", 4, 3)), Set.of("w2"));
        for (Meter meter : mRegistry.getMeters()) {
            String server = meter.getId().getTag("server");
            String workspace = meter.getId().getTag("workspace");
            assertTrue(server == null || server.equals("s2"), meter.getId().toString());
            assertTrue(workspace == null || workspace.equals("w2"), meter.getId().toString());
        }
        assertEquals(mRegistry.find("plantainferry.statements.waited").timers().size(), 1);
    }

    @Test
    public void statementThatIsSentAtOnceHasNotWaited() {
        mMetrics.onSent("r1", "s1", 0, "w1", MILLI / 10);
        assertNull(mRegistry.find("plantainferry.statements.waited").meter());
        assertEquals(
                countLines(() -> mMetrics.update(List.of(), Set.of()), new StringBuilder()), 0);
    }

    @Test
    public void floodOfWaitsAndRefusalsIsOneLineForEachPriority() {
        StringBuilder lines = new StringBuilder();
        int count =
                countLines(
                        () -> {
                            for (int index = 0; index < 10_000; index++) {
                                String workspace = "w" + index % 500;
                                long nanos = (index % 400) * MILLI;
                                mMetrics.onSent("r" + index, "s1", 2, workspace, nanos);
                                mMetrics.onRefused("x" + index, index % 2, workspace, "no room");
                            }
                            mMetrics.update(List.of(), Set.of());
                            mMetrics.update(List.of(), Set.of());
                        },
                        lines);
        assertEquals(count, 3, lines.toString());
        assertTrue(
                lines.toString().contains("priority=2 waited=9975 longest-ms=399"),
                lines.toString());
        assertTrue(
                lines.toString().contains("refused=5000 refused-request=x9999"), lines.toString());
    }
}
