package org.plantainferry.engine.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.engine.routing.SeededRandom;
import org.testng.annotations.Test;

/** Guards against too many connections, reuse of broken ones, and storms of openings. */
public class ConnectionPoolStateTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    private final UniformRandomProvider mRandom = SeededRandom.create("ConnectionPoolStateTest");

    private ConnectionPoolState<Integer> pool(int connections) {
        return new ConnectionPoolState<>(new ConnectionShare(connections), mRandom);
    }

    private static ConnectionAction<Integer> use(int connection) {
        return new ConnectionAction.Use<>(connection);
    }

    private static void open(ConnectionPoolState<Integer> pool, int connection, long now) {
        assertEquals(pool.acquire(now), new ConnectionAction.Open<Integer>());
        assertEquals(pool.opened(connection, now), Optional.empty());
        assertEquals(pool.acquire(now), use(connection));
    }

    /** The share must not exceed the limit in total, but each instance can always work. */
    @Test
    public void sharesLimitOverInstances() {
        assertEquals(ConnectionShare.of(50, 12).connections(), 4);
        assertEquals(ConnectionShare.of(3, 12).connections(), 1);
        assertEquals(ConnectionShare.of(50, 0).connections(), 50);
    }

    /** At most two openings may be in progress, and the share bounds all connections. */
    @Test
    public void boundsOpeningsAndConnections() {
        ConnectionPoolState<Integer> pool = pool(3);
        assertEquals(pool.acquire(0), new ConnectionAction.Open<Integer>());
        assertEquals(pool.acquire(0), new ConnectionAction.Open<Integer>());
        assertEquals(pool.acquire(0), new ConnectionAction.WaitForRelease<Integer>());
        pool.opened(1, 0);
        pool.opened(2, 0);
        pool.acquire(0);
        pool.acquire(0);
        open(pool, 3, 0);
        assertEquals(pool.acquire(0), new ConnectionAction.WaitForRelease<Integer>());
        pool.discard(2);
        assertEquals(pool.acquire(0), new ConnectionAction.Open<Integer>());
    }

    /** The most recently used connection is the one that the server least likely closed. */
    @Test
    public void reusesMostRecentAndEvictsIdle() {
        ConnectionPoolState<Integer> pool = pool(3);
        open(pool, 1, 0);
        open(pool, 2, 0);
        pool.release(1, SECOND);
        pool.release(2, 2 * SECOND);
        assertEquals(pool.evict(61 * SECOND), List.of(1));
        assertEquals(pool.acquire(61 * SECOND), use(2));
    }

    /** A connection in an unknown state must never be used again, however often it is reported. */
    @Test
    public void neverReusesDiscardedConnection() {
        ConnectionPoolState<Integer> pool = pool(1);
        open(pool, 1, 0);
        pool.pin(1);
        pool.discard(1);
        pool.discard(1);
        assertEquals(pool.pinned(), 0);
        assertEquals(pool.acquire(0), new ConnectionAction.Open<Integer>());
    }

    /** Transactions must not take all connections, since other requests would starve. */
    @Test
    public void reservesConnectionForRequestsWithoutTransaction() {
        ConnectionPoolState<Integer> pool = pool(2);
        open(pool, 1, 0);
        assertTrue(pool.canPin());
        pool.pin(1);
        assertFalse(pool.canPin());
        pool.release(1, 0);
        assertTrue(pool.canPin());
    }

    /** A server that refuses connections must be asked less and less often. */
    @Test
    public void backsOffAfterFailures() {
        ConnectionPoolState<Integer> pool = pool(4);
        long now = 0;
        for (int failure = 0; failure < 10; failure++) {
            assertEquals(pool.acquire(now), new ConnectionAction.Open<Integer>());
            pool.openFailed(now);
            long until = ((ConnectionAction.WaitUntil<Integer>) pool.acquire(now)).nanos();
            long limit = Math.min(2_000, 50L << failure) * MILLI;
            assertTrue(until - now >= limit / 2 && until - now <= limit);
            now = until;
        }
    }

    /** A smaller share must be reached by closing, not by cutting requests. */
    @Test
    public void closesSurplusAfterResize() {
        ConnectionPoolState<Integer> pool = pool(3);
        open(pool, 1, 0);
        open(pool, 2, 0);
        open(pool, 3, 0);
        pool.release(1, 0);
        pool.resize(new ConnectionShare(1));
        assertEquals(pool.evict(0), List.of(1));
        assertEquals(pool.release(2, 0), Optional.of(2));
        assertEquals(pool.release(3, 0), Optional.empty());
    }

    /** After a change of primary, openings must be spread over time. */
    @Test
    public void pacesOpeningsAfterPrimaryChange() {
        ConnectionPoolState<Integer> pool = pool(20);
        pool.onPrimaryChange(0);
        List<Long> openedAt = new ArrayList<>();
        for (long now = 0; now < SECOND; now += MILLI) {
            if (pool.acquire(now) instanceof ConnectionAction.Open) {
                openedAt.add(now);
                pool.opened(openedAt.size(), now);
                pool.acquire(now);
            }
        }
        assertEquals(openedAt.size(), 20);
        for (int i = 1; i < openedAt.size(); i++) {
            assertTrue(openedAt.get(i) - openedAt.get(i - 1) >= 15 * MILLI);
        }
    }
}
