package org.plantainferry.engine.routing;

import static org.plantainferry.engine.routing.GroupFixtures.A;
import static org.plantainferry.engine.routing.GroupFixtures.MILLI;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.session.LogPosition;
import org.testng.annotations.Test;

/** Guards against estimates that send reads after writes to the primary, or to replicas in vain. */
public class ReplicaShareTest {
    private static final int WRITES = 4_000;
    private static final long ROUND_TRIP_NANOS = MILLI;

    private final UniformRandomProvider mRandom = SeededRandom.create("ReplicaShareTest");
    private final ReadRouter mRouter = new ReadRouter(GroupFixtures.LOCAL_DOMAIN, mRandom);
    private final GroupRoutingState mView = GroupFixtures.caughtUpGroup();
    private final long[] mWriteNanos = new long[WRITES];
    private int mBehindAnswers;
    private int mPrimaryReads;

    /** Each write is read back at once, while replicas are 8 to 11 ms behind. */
    @Test
    public void servesMostReadsAfterWritesFromReplicas() {
        long now = 0;
        for (int write = 0; write < WRITES; write++) {
            now += mRandom.nextLong(20 * MILLI);
            mWriteNanos[write] = now;
            mView.observe(GroupFixtures.primary(A, 1, 101 + write), now);
            now = readBack(write, now);
        }
        String counts =
                "of " + WRITES + ": primary " + mPrimaryReads + ", behind " + mBehindAnswers;
        System.out.println(counts);
        assertTrue(mPrimaryReads < WRITES / 10, counts);
        assertTrue(mBehindAnswers < WRITES / 2, counts);
    }

    private long readBack(int write, long start) {
        LogPosition written = new LogPosition(1, 101 + write);
        long deadline = start + 5_000 * MILLI;
        Set<ServerId> tried = new HashSet<>();
        long now = start;
        for (int step = 0; step < 1_000; step++) {
            ReadRequirement requirement =
                    new ReadRequirement(written, OptionalLong.empty(), deadline, now - start);
            RoutingDecision decision = mRouter.choose(requirement, mView, server -> 0, tried, now);
            if (decision instanceof RoutingDecision.WaitForReplica wait) {
                now += wait.delayNanos();
                continue;
            }
            ServerId server = ((RoutingDecision.UseServer) decision).server();
            if (server.equals(A)) {
                mPrimaryReads++;
                return now + ROUND_TRIP_NANOS;
            }
            int applied = lastAppliedWrite(now, write);
            now += ROUND_TRIP_NANOS;
            mView.observe(GroupFixtures.replica(server, 1, 101 + applied, 0), now);
            if (applied == write) {
                return now;
            }
            mBehindAnswers++;
            tried.add(server);
        }
        throw new AssertionError("the read was not served in 1000 steps");
    }

    private int lastAppliedWrite(long now, int latest) {
        long delay = (8 + mRandom.nextInt(4)) * MILLI;
        int applied = latest;
        while (applied >= 0 && mWriteNanos[applied] > now - delay) {
            applied--;
        }
        return applied;
    }
}
