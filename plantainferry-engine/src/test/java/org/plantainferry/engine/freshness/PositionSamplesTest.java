package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.plantainferry.api.session.LogPosition;
import org.testng.annotations.Test;

/** Guards against reads at replicas that lack a commit which the guarantee demands. */
public final class PositionSamplesTest {
    private static final long MILLI = 1_000_000L;

    private static LogPosition at(long term, long position) {
        return new LogPosition(term, position);
    }

    @Test
    public void coversOnlyTimesUpToRequest() {
        PositionSamples samples = new PositionSamples();
        samples.record(100 * MILLI, at(3, 10));
        assertEquals(samples.positionCovering(100 * MILLI), Optional.of(at(3, 10)));
        assertEquals(samples.positionCovering(100 * MILLI + 1), Optional.empty());
    }

    @Test
    public void returnsLowestCoveringPosition() {
        PositionSamples samples = new PositionSamples();
        samples.record(100 * MILLI, at(3, 10));
        samples.record(300 * MILLI, at(3, 30));
        samples.record(500 * MILLI, at(3, 50));
        assertEquals(samples.positionCovering(200 * MILLI), Optional.of(at(3, 30)));
    }

    @Test
    public void returnsCoveringSampleWithItsTime() {
        PositionSamples samples = new PositionSamples();
        samples.record(100 * MILLI, at(3, 10));
        samples.record(300 * MILLI, at(3, 30));
        assertEquals(
                samples.sampleCovering(200 * MILLI),
                Optional.of(new TimedPosition(at(3, 30), 300 * MILLI)));
        assertEquals(samples.sampleCovering(400 * MILLI), Optional.empty());
    }

    @Test
    public void ignoresLateAnswerOfFormerPrimary() {
        PositionSamples samples = new PositionSamples();
        samples.record(100 * MILLI, at(4, 10));
        samples.record(200 * MILLI, at(3, 90));
        assertEquals(samples.newestPosition(), Optional.of(at(4, 10)));
        assertEquals(samples.positionCovering(150 * MILLI), Optional.empty());
    }

    @Test
    public void keepsSamplesOverWholeBoundAtHighRate() {
        PositionSamples samples = new PositionSamples();
        for (int milli = 0; milli < 5_000; milli++) {
            samples.record(milli * MILLI, at(1, milli));
        }
        long since = 3_500 * MILLI;
        assertEquals(samples.positionCovering(since).isPresent(), true);
        assertEquals(samples.positionCovering(since).get().position() >= 3_500, true);
        assertEquals(samples.newestPosition(), Optional.of(at(1, 4_999)));
    }
}
