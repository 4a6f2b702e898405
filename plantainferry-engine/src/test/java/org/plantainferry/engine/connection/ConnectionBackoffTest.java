package org.plantainferry.engine.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Guards against bursts of refused openings when about a hundred instances connect to a server that
 * accepts fewer connections than there are instances.
 */
public final class ConnectionBackoffTest {
    private static final long MILLI = 1_000_000L;
    private static final int INSTANCES = 95;
    private static final int CONNECTION_LIMIT = 66;

    @Test
    public void opensImmediatelyWhileTheServerAcceptsConnections() {
        ConnectionBackoff backoff = new ConnectionBackoff();
        assertEquals(backoff.remainingNanos(5), 0);
        backoff.onRefused(5, 0);
        assertTrue(backoff.remainingNanos(5) > 0);
        backoff.onOpened();
        assertEquals(backoff.remainingNanos(5), 0);
    }

    @Test
    public void doublesTheBackoffWithEachRefusal() {
        ConnectionBackoff backoff = new ConnectionBackoff();
        backoff.onRefused(0, 0.5);
        long first = backoff.remainingNanos(0);
        backoff.onRefused(0, 0.5);
        assertEquals(backoff.remainingNanos(0), 2 * first);
    }

    @Test
    public void limitsRefusedOpeningsWhileInstancesExceedTheConnectionLimit() {
        // Each instance holds a connection for 300 ms and needs one again 100 ms later.
        Random random = new Random(3);
        List<ConnectionBackoff> backoffs = new ArrayList<>();
        long[] heldUntil = new long[INSTANCES];
        long[] neededFrom = new long[INSTANCES];
        for (int index = 0; index < INSTANCES; index++) {
            backoffs.add(new ConnectionBackoff());
        }
        int opened = 0;
        int refused = 0;
        for (long now = 0; now < 10_000 * MILLI; now += MILLI) {
            int held = 0;
            for (long until : heldUntil) {
                held += until > now ? 1 : 0;
            }
            for (int index = 0; index < INSTANCES; index++) {
                boolean isWaiting = heldUntil[index] <= now && neededFrom[index] <= now;
                if (!isWaiting || backoffs.get(index).remainingNanos(now) > 0) {
                    continue;
                }
                if (held >= CONNECTION_LIMIT) {
                    refused++;
                    backoffs.get(index).onRefused(now, random.nextDouble());
                    continue;
                }
                held++;
                opened++;
                backoffs.get(index).onOpened();
                heldUntil[index] = now + 300 * MILLI;
                neededFrom[index] = heldUntil[index] + 100 * MILLI;
            }
        }
        assertTrue(opened > 1_900, "opened " + opened);
        assertTrue(refused < 2 * opened, refused + " refused, " + opened + " opened");
    }
}
