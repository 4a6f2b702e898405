package org.plantainferry.engine.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Guards against storms of openings: the pattern is a hundred instances before a server that takes
 * fewer connections than there are instances.
 */
public final class ConnectionBackoffTest {
    private static final long MILLI = 1_000_000L;
    private static final int INSTANCES = 95;
    private static final int CONNECTION_LIMIT = 66;

    @Test
    public void opensImmediatelyWhileTheServerAcceptsConnections() {
        ConnectionBackoff pause = new ConnectionBackoff();
        assertEquals(pause.remainingNanos(5), 0);
        pause.onRefused(5, 0);
        assertTrue(pause.remainingNanos(5) > 0);
        pause.onOpened();
        assertEquals(pause.remainingNanos(5), 0);
    }

    @Test
    public void doublesTheBackoffWithEachRefusal() {
        ConnectionBackoff pause = new ConnectionBackoff();
        pause.onRefused(0, 0.5);
        long first = pause.remainingNanos(0);
        pause.onRefused(0, 0.5);
        assertEquals(pause.remainingNanos(0), 2 * first);
    }

    @Test
    public void limitsRefusedOpeningsWhileInstancesExceedTheConnectionLimit() {
        // Each instance holds a place for 300 ms and wants one again 100 ms later.
        Random random = new Random(3);
        List<ConnectionBackoff> pauses = new ArrayList<>();
        long[] heldUntil = new long[INSTANCES];
        long[] wantedFrom = new long[INSTANCES];
        for (int index = 0; index < INSTANCES; index++) {
            pauses.add(new ConnectionBackoff());
        }
        int opened = 0;
        int refused = 0;
        for (long now = 0; now < 10_000 * MILLI; now += MILLI) {
            int held = 0;
            for (long until : heldUntil) {
                held += until > now ? 1 : 0;
            }
            for (int index = 0; index < INSTANCES; index++) {
                boolean isWaiting = heldUntil[index] <= now && wantedFrom[index] <= now;
                if (!isWaiting || pauses.get(index).remainingNanos(now) > 0) {
                    continue;
                }
                if (held >= CONNECTION_LIMIT) {
                    refused++;
                    pauses.get(index).onRefused(now, random.nextDouble());
                    continue;
                }
                held++;
                opened++;
                pauses.get(index).onOpened();
                heldUntil[index] = now + 300 * MILLI;
                wantedFrom[index] = heldUntil[index] + 100 * MILLI;
            }
        }
        assertTrue(opened > 1_900, "opened " + opened);
        assertTrue(refused < 2 * opened, refused + " refused, " + opened + " opened");
    }
}
