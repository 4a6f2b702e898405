package org.plantainferry.engine.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.DoubleSupplier;
import org.plantainferry.engine.capacity.ServerRoom.Outcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against limits that leave room unused, that overload a server which slows down early, or
 * that swing when many instances learn from the same queue.
 */
public final class LearnedServerRoomTest {
    private static final WorkKind WRITE = new WorkKind("d", WorkKind.Step.WRITE);
    private static final WorkKind COMMIT = new WorkKind("d", WorkKind.Step.COMMIT);
    private static final int SLOTS = 4;
    private static final double WORK_MILLIS = 20;
    private static final double NETWORK_MILLIS = 1;
    private static final long MILLI = 1_000_000L;

    private SimulatedServer.Time mTime;
    private Random mRandom;

    /** Sends as much as its room permits, of a backlog that never ends. */
    private final class Sender {
        private final LearnedServerRoom mRoom;
        private final SimulatedServer mServer;
        private final DoubleSupplier mWork;

        Sender(SimulatedServer server, LearnedServerRoom room, DoubleSupplier work) {
            mServer = server;
            mRoom = room;
            mWork = work;
            mTime.after(mRandom.nextDouble() * WORK_MILLIS, this::fill);
        }

        private void fill() {
            while (mRoom.inFlight() < mRoom.limit(mTime.now())) {
                send();
            }
        }

        private void send() {
            long sent = mTime.now();
            mRoom.onSent(WRITE, sent);
            double millis = mWork.getAsDouble();
            mTime.after(
                    NETWORK_MILLIS / 2,
                    () ->
                            mServer.send(
                                    millis,
                                    outcome ->
                                            mTime.after(
                                                    NETWORK_MILLIS / 2, () -> end(sent, outcome))));
        }

        private void end(long sent, Outcome outcome) {
            mRoom.onEnded(WRITE, outcome, mTime.now() - sent, mTime.now());
            mTime.after(outcome == Outcome.BUSY ? 20 : 0, this::fill);
        }
    }

    /** Summarises what a server did, sampled each 20 ms. */
    private record Summary(
            double roomUsed, double leastUsedInSecond, double meanInProgress, int maxInProgress) {}

    @BeforeMethod
    public void reset() {
        mTime = new SimulatedServer.Time();
        mRandom = new Random(7);
    }

    private LearnedServerRoom room(int slots, int limit) {
        return new LearnedServerRoom(slots, limit, new WorkTimes(), mTime.now());
    }

    private double exponential() {
        return -Math.log(1 - mRandom.nextDouble()) * WORK_MILLIS;
    }

    private Summary observe(SimulatedServer server, int slots, double millis) {
        server.takeServedMillis();
        double inProgress = 0;
        double served = 0;
        double leastServed = Double.MAX_VALUE;
        int maximum = 0;
        int samples = (int) (millis / WORK_MILLIS);
        int samplesInSecond = (int) (1_000 / WORK_MILLIS);
        for (int sample = 1; sample <= samples; sample++) {
            mTime.runForMillis(WORK_MILLIS);
            inProgress += server.inProgress();
            maximum = Math.max(maximum, server.inProgress());
            if (sample % samplesInSecond == 0) {
                double inSecond = server.takeServedMillis();
                served += inSecond;
                leastServed = Math.min(leastServed, inSecond);
            }
        }
        return new Summary(
                served / (millis * slots),
                leastServed / (1_000 * slots),
                inProgress / samples,
                maximum);
    }

    @DataProvider
    public Object[][] durations() {
        return new Object[][] {{"equal"}, {"varied"}, {"exponential"}};
    }

    private DoubleSupplier work(String durations) {
        return switch (durations) {
            case "equal" -> () -> WORK_MILLIS;
            case "varied" -> () -> WORK_MILLIS * (0.5 + mRandom.nextDouble());
            default -> this::exponential;
        };
    }

    /** One instance must be able to fill a server alone, with hardly any wait at the server. */
    @Test(dataProvider = "durations")
    public void fillsAServerAlone(String durations) {
        SimulatedServer server = new SimulatedServer(mTime, SLOTS, SLOTS);
        new Sender(server, room(SLOTS, SLOTS), work(durations));
        mTime.runForMillis(3_000);
        Summary summary = observe(server, SLOTS, 20_000);
        System.out.println("alone, " + durations + ": " + summary);
        assertTrue(summary.roomUsed() >= 0.9, summary.toString());
        assertTrue(summary.meanInProgress() <= SLOTS + 2.5, summary.toString());
    }

    /** A cold server starts with one statement, and must get its full load after its first work. */
    @Test
    public void fillsAColdServerSoon() {
        SimulatedServer server = new SimulatedServer(mTime, SLOTS, SLOTS);
        LearnedServerRoom room = room(SLOTS, 1);
        new Sender(server, room, work("varied"));
        assertEquals(room.limit(mTime.now()), 1);
        mTime.runForMillis(2_000);
        assertTrue(room.limit(mTime.now()) >= SLOTS, room.snapshot().toString());
    }

    /** Load: a server of 8 slots whose statements delay each other from the fifth one on. */
    @Test(dataProvider = "durations")
    public void sendsNoMoreThanAServerTakesThatSlowsDownHalfFull(String durations) {
        int slots = 8;
        SimulatedServer server = new SimulatedServer(mTime, slots, slots / 2);
        new Sender(server, room(slots, slots), work(durations));
        mTime.runForMillis(4_000);
        Summary summary = observe(server, slots, 20_000);
        System.out.println("slows down half full, " + durations + ": " + summary);
        assertTrue(summary.meanInProgress() <= 7, summary.toString());
        assertTrue(summary.roomUsed() >= 0.9 / 2, summary.toString());
    }

    /** Load: a server becomes four times slower for 10 s while callers ask for all that it has. */
    @Test(dataProvider = "durations")
    public void followsAServerThatSlowsDownAndRecovers(String durations) {
        SimulatedServer server = new SimulatedServer(mTime, SLOTS, SLOTS);
        LearnedServerRoom room = room(SLOTS, SLOTS);
        new Sender(server, room, work(durations));
        mTime.runForMillis(3_000);
        long before = room.serviceNanos(WRITE);
        server.setSlowness(4);
        mTime.runForMillis(5_000);
        double slower = (double) room.serviceNanos(WRITE) / before;
        Summary slow = observe(server, SLOTS, 5_000);
        server.setSlowness(1);
        mTime.runForMillis(3_000);
        Summary after = observe(server, SLOTS, 5_000);
        double restored = (double) room.serviceNanos(WRITE) / before;
        System.out.println(durations + ": slow " + slow + " x" + slower + ", after " + after);
        assertTrue(slower > 2.5, "believed " + slower);
        assertTrue(slow.roomUsed() >= 0.9 * 0.8 / 4, slow.toString());
        assertTrue(after.roomUsed() >= 0.9, after.toString());
        assertTrue(restored < 1.5, "believed " + restored);
    }

    @DataProvider
    public Object[][] senders() {
        return new Object[][] {
            {3, "varied"}, {13, "varied"}, {3, "exponential"}, {13, "exponential"}, {136, "varied"}
        };
    }

    /**
     * Load: instances that all have a backlog for one server of 4 slots. They must not all hold
     * back at once; three must not queue there for longer than three times their work.
     */
    @Test(dataProvider = "senders")
    public void settlesWithManyInstances(int count, String durations) {
        SimulatedServer server = new SimulatedServer(mTime, SLOTS, SLOTS);
        List<LearnedServerRoom> rooms = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            rooms.add(room(SLOTS, Math.max(1, SLOTS / count)));
            new Sender(server, rooms.get(index), work(durations));
        }
        mTime.runForMillis(5_000);
        Summary summary = observe(server, SLOTS, 20_000);
        int least = rooms.stream().mapToInt(room -> room.limit(mTime.now())).min().orElseThrow();
        int most = rooms.stream().mapToInt(room -> room.limit(mTime.now())).max().orElseThrow();
        System.out.println(
                count
                        + " senders, "
                        + durations
                        + ": "
                        + summary
                        + " limits "
                        + least
                        + " to "
                        + most);
        assertTrue(summary.roomUsed() >= 0.9, summary.toString());
        assertTrue(summary.leastUsedInSecond() >= 0.8, summary.toString());
        if (count == 3) {
            assertTrue(summary.meanInProgress() <= 4 * SLOTS, summary.toString());
        }
    }

    private void answer(LearnedServerRoom room, WorkKind kind, Outcome outcome, long millis) {
        room.onSent(kind, mTime.now());
        mTime.runForMillis(millis);
        room.onEnded(kind, outcome, millis * MILLI, mTime.now());
    }

    private void answer(
            LearnedServerRoom room, WorkKind kind, Outcome outcome, long millis, int times) {
        for (int index = 0; index < times; index++) {
            answer(room, kind, outcome, millis);
        }
    }

    /** Load: refusals, failures, and commits that wait for another server. */
    @Test
    public void learnsSpeedFromItsOwnWorkOnly() {
        LearnedServerRoom room = room(SLOTS, SLOTS);
        answer(room, WRITE, Outcome.ANSWERED, 20, 20);
        answer(room, COMMIT, Outcome.ANSWERED, 5, 20);
        answer(room, COMMIT, Outcome.ANSWERED, 200, 20);
        answer(room, WRITE, Outcome.FAILED, 400, 20);
        answer(room, WRITE, Outcome.BUSY, 1, 5);
        assertEquals(room.serviceNanos(WRITE), 20 * MILLI, MILLI);
        assertEquals(room.expectedNanos(WRITE, mTime.now()), 20 * MILLI, MILLI);
        assertTrue(room.serviceNanos(COMMIT) > 20 * MILLI);
        assertEquals(room.inFlight(), 0);
        assertTrue(room.limit(mTime.now()) >= 1);
    }

    /** A server that refuses everything must still be asked one statement at a time. */
    @Test
    public void keepsOneStatementWhereAllAreRefused() {
        LearnedServerRoom room = room(SLOTS, SLOTS);
        for (int index = 0; index < 30; index++) {
            answer(room, WRITE, Outcome.BUSY, 1);
            mTime.runForMillis(200);
        }
        assertEquals(room.limit(mTime.now()), 1);
    }

    /** A kind that is new at a server takes there what it takes elsewhere, by its speed. */
    @Test
    public void scalesUnknownKindsByTheSpeedOfTheServer() {
        WorkTimes times = new WorkTimes();
        LearnedServerRoom fast = new LearnedServerRoom(SLOTS, SLOTS, times, 0);
        LearnedServerRoom slow = new LearnedServerRoom(SLOTS, SLOTS, times, 0);
        WorkKind read = new WorkKind("d", WorkKind.Step.READ);
        answer(fast, WRITE, Outcome.ANSWERED, 20, 40);
        answer(fast, read, Outcome.ANSWERED, 50, 40);
        answer(slow, WRITE, Outcome.ANSWERED, 60, 60);
        double expected = slow.serviceNanos(read);
        assertTrue(expected > 110 * MILLI && expected < 190 * MILLI, "expected " + expected);
    }

    /** Operators must get one notice for a change by two, not one for each answer. */
    @Test
    public void reportsAChangeOnce() {
        LearnedServerRoom room = room(SLOTS, SLOTS);
        answer(room, WRITE, Outcome.ANSWERED, 20, 60);
        assertTrue(room.takeChange(mTime.now()).isEmpty());
        answer(room, WRITE, Outcome.ANSWERED, 80, 60);
        assertTrue(room.takeChange(mTime.now()).orElseThrow().slowness() >= 2);
        assertTrue(room.takeChange(mTime.now()).isEmpty());
    }

    /**
     * Load: single statements that wait behind the work of others; a burst must still find room.
     */
    @Test
    public void keepsRoomThatItDoesNotUse() {
        LearnedServerRoom room = room(SLOTS, 1);
        answer(room, WRITE, Outcome.ANSWERED, 20, 100);
        while (room.limit(mTime.now()) < SLOTS) {
            int together = room.limit(mTime.now());
            long sent = mTime.now();
            for (int index = 0; index < together; index++) {
                room.onSent(WRITE, sent);
            }
            mTime.runForMillis(20);
            for (int index = 0; index < together; index++) {
                room.onEnded(WRITE, Outcome.ANSWERED, mTime.now() - sent, mTime.now());
            }
        }
        int limit = room.limit(mTime.now());
        answer(room, WRITE, Outcome.ANSWERED, 80, 10);
        assertTrue(room.snapshot().orElseThrow().queueing() > 1.5, room.snapshot().toString());
        assertEquals(room.limit(mTime.now()), limit);
    }
}
