package org.plantainferry.engine.capacity;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Guards against reads that stay at a server which became slow, that do not return to it when it
 * has recovered, or that leave a server which only got longer work.
 */
public final class ReadsFollowServersTest {
    private static final WorkKind SHORT = new WorkKind("pages", WorkKind.Step.READ);
    private static final WorkKind LONG = new WorkKind("reports", WorkKind.Step.READ);
    private static final int SLOTS = 4;
    private static final int SERVERS = 3;
    private static final double SHORT_MILLIS = 20;
    private static final double LONG_MILLIS = 110;
    private static final double OBJECTIVE_MILLIS = 150;

    private final SimulatedServer.Time mTime = new SimulatedServer.Time();
    private Random mRandom;
    private List<SimulatedServer> mServers;
    private List<SimulatedInstance> mInstances;
    private Observed mObserved;

    /** Collects what callers saw in one period, and which servers they were served by. */
    private static final class Observed {
        private final int[] mReads = new int[SERVERS];
        private final List<Double> mMillis = new ArrayList<>();

        void record(String server, long nanos) {
            mReads[Integer.parseInt(server)]++;
            mMillis.add(nanos / 1e6);
        }

        double share(int server) {
            return (double) mReads[server] / Math.max(1, Arrays.stream(mReads).sum());
        }

        double inObjective() {
            long count = mMillis.stream().filter(millis -> millis <= OBJECTIVE_MILLIS).count();
            return (double) count / Math.max(1, mMillis.size());
        }

        double percentile(double fraction) {
            double[] sorted = mMillis.stream().mapToDouble(millis -> millis).sorted().toArray();
            return sorted.length == 0 ? 0 : sorted[(int) (fraction * (sorted.length - 1))];
        }

        @Override
        public String toString() {
            return String.format(
                    "shares %.2f %.2f %.2f, in objective %.3f, p50 %.0f ms, p99 %.0f ms",
                    share(0), share(1), share(2), inObjective(), percentile(0.5), percentile(0.99));
        }
    }

    private void reset(int instances, boolean learned) {
        mRandom = new Random(11);
        mServers = new ArrayList<>();
        mInstances = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            mServers.add(new SimulatedServer(mTime, SLOTS, SLOTS));
        }
        for (int index = 0; index < instances; index++) {
            mInstances.add(
                    new SimulatedInstance(
                            mTime, mRandom, mServers, SLOTS, index % SERVERS, instances, learned));
        }
    }

    /** Sends reads of a kind, spread evenly over the instances, until a time. */
    private void send(WorkKind kind, double millis, double perSecond, long untilNanos) {
        mTime.after(
                -Math.log(1 - mRandom.nextDouble()) * 1_000 / perSecond,
                () -> {
                    if (mTime.now() - untilNanos >= 0) {
                        return;
                    }
                    SimulatedInstance instance = mInstances.get(mRandom.nextInt(mInstances.size()));
                    double work = millis * (0.5 + mRandom.nextDouble());
                    instance.read(
                            kind,
                            work,
                            OBJECTIVE_MILLIS,
                            (server, nanos) -> {
                                if (kind.equals(SHORT)) {
                                    mObserved.record(server, nanos);
                                }
                            });
                    send(kind, millis, perSecond, untilNanos);
                });
    }

    private Observed observe(String name, double millis) {
        mObserved = new Observed();
        mTime.runForMillis(millis);
        System.out.println(name + ": " + mObserved);
        return mObserved;
    }

    /** Holds what callers saw around the time in which a server was slow. */
    private record SlowTimes(Observed before, Observed slow, Observed after) {}

    private SlowTimes slowDown(int instances, boolean learned) {
        reset(instances, learned);
        String name = "share, " + instances + " instances, " + (learned ? "learned" : "today's");
        send(SHORT, SHORT_MILLIS, 240, mTime.now() + 30_000_000_000L);
        observe(name + ", start", 2_000);
        Observed before = observe(name + ", all fast", 3_000);
        mServers.get(0).setSlowness(4);
        observe(name + ", first second slow", 1_000);
        Observed slow = observe(name + ", slow", 5_000);
        mServers.get(0).setSlowness(1);
        for (int second = 1; second <= 4; second++) {
            observe(name + ", second " + second + " after", 1_000);
        }
        Observed after = observe(name + ", recovered", 5_000);
        mTime.runForMillis(20_000);
        return new SlowTimes(before, slow, after);
    }

    /** Load: 240 reads a second over three servers, of which one is four times slower for 6 s. */
    @Test
    public void movesReadsAwayFromASlowServerAndBack() {
        SlowTimes today = slowDown(3, false);
        SlowTimes learned = slowDown(3, true);
        assertTrue(learned.slow().share(0) <= 0.15, "learned: " + learned.slow());
        assertTrue(learned.slow().inObjective() >= 0.99, "learned: " + learned.slow());
        assertTrue(learned.after().share(0) >= 0.8 * learned.before().share(0), learned.toString());
        assertTrue(today.after().share(0) < learned.after().share(0), today.toString());
    }

    /** Load: the same from 13 instances, each of which sees few of the answers. */
    @Test
    public void movesReadsOfManyInstances() {
        SlowTimes today = slowDown(13, false);
        SlowTimes learned = slowDown(13, true);
        assertTrue(learned.slow().share(0) <= 0.15, "learned: " + learned.slow());
        assertTrue(learned.slow().inObjective() >= 0.98, "learned: " + learned.slow());
        assertTrue(learned.after().share(0) >= 0.5 * learned.before().share(0), learned.toString());
        assertTrue(today.after().share(0) < learned.after().share(0), today.toString());
    }

    private Observed burst(boolean learned) {
        reset(1, learned);
        send(SHORT, SHORT_MILLIS, 20, mTime.now() + 12_000_000_000L);
        observe("share, " + learned + ", before burst", 5_000);
        send(LONG, LONG_MILLIS, 15, mTime.now() + 3_000_000_000L);
        Observed during = observe("share, " + learned + ", burst", 3_000);
        observe("share, " + learned + ", after burst", 2_000);
        mTime.runForMillis(20_000);
        return during;
    }

    /** Load: long reads arrive for 3 s and use two of the four slots of the preferred replica. */
    @Test
    public void doesNotTakeLongWorkForSlowness() {
        Observed today = burst(false);
        Observed learned = burst(true);
        assertTrue(learned.share(0) >= 0.85, "learned: " + learned);
        assertTrue(learned.inObjective() >= 0.99, "learned: " + learned);
        assertTrue(today.share(0) < learned.share(0), "today's: " + today);
    }
}
