package org.plantainferry.engine.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.plantainferry.engine.capacity.LearnedServerRoom;
import org.plantainferry.engine.capacity.ServerRoom;
import org.plantainferry.engine.capacity.UnlimitedServerRoom;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.capacity.WorkTimes;
import org.plantainferry.engine.catalog.CatalogServer;
import org.testng.annotations.Test;

/**
 * Guards against learned placement that moves work without need, and against probes that come too
 * often or that cost a caller its objective.
 */
public final class LearnedPlacementTest {
    private static final WorkKind READ = new WorkKind("d", WorkKind.Step.READ);
    private static final int SLOTS = 3;
    private static final long MILLI = 1_000_000L;
    private static final double NO_PROBE = 0.99;

    private final WorkTimes mTimes = new WorkTimes();
    private long mNow;

    private LearnedServerRoom room(long readMillis) {
        LearnedServerRoom room = new LearnedServerRoom(SLOTS, SLOTS, mTimes, mNow);
        for (int index = 0; index < 200; index++) {
            read(room, readMillis);
        }
        return room;
    }

    private void read(ServerRoom room, long millis) {
        room.onSent(READ, mNow);
        mNow += millis * MILLI;
        room.onEnded(READ, ServerRoom.Outcome.ANSWERED, millis * MILLI, mNow);
    }

    private static ReadCandidate candidate(
            String id, ServerHealth health, ServerRoom room, int waiting) {
        CatalogServer server = new CatalogServer(id, "s", "10.0.0.1:1", id, false, false, SLOTS, 0);
        return new ReadCandidate(
                server, health, room, false, id.equals("a"), waiting, ConnectionAvailability.IDLE);
    }

    private Optional<String> choose(
            ReadTimeEstimate estimate,
            List<ReadCandidate> candidates,
            long objectiveMillis,
            double random) {
        ReadDemand demand =
                new ReadDemand(
                        READ, Optional.empty(), Set.of(), mNow + objectiveMillis * MILLI, true);
        return new ReadPlacement("a", estimate)
                .choose(candidates, demand, random, mNow)
                .map(candidate -> candidate.server().id());
    }

    private String chooseLearned(ServerRoom near, ServerRoom far, long objective, double random) {
        List<ReadCandidate> candidates =
                List.of(
                        candidate("a", new ServerHealth(), near, 0),
                        candidate("b", new ServerHealth(), far, 0));
        return choose(ReadTimeEstimate.byLearnedTimes(), candidates, objective, random)
                .orElseThrow();
    }

    /**
     * Where all servers look alike, the choice must not depend on how their times are estimated.
     */
    @Test
    public void choosesAsByResponseTimesWhereServersLookAlike() {
        Random random = new Random(3);
        LearnedServerRoom room = room(15);
        for (int round = 0; round < 500; round++) {
            List<ReadCandidate> candidates = new ArrayList<>();
            for (String id : List.of("a", "b", "c")) {
                ServerHealth health = new ServerHealth();
                for (int sent = random.nextInt(6); sent > 0; sent--) {
                    health.onStatementSent();
                }
                candidates.add(candidate(id, health, room, random.nextInt(3)));
            }
            assertEquals(
                    choose(ReadTimeEstimate.byLearnedTimes(), candidates, 500, 0),
                    choose(ReadTimeEstimate.byResponseTimes(), candidates, 500, 0));
        }
    }

    /** Load: servers whose times differ by a third, which is less than the noise of few answers. */
    @Test
    public void keepsWorkWhereItsConnectionsAreDespiteNoise() {
        assertEquals(chooseLearned(room(80), room(60), 500, NO_PROBE), "a");
    }

    /** Load: a preferred replica that is four times slower than another one. */
    @Test
    public void leavesAServerThatIsMuchSlower() {
        assertEquals(chooseLearned(room(80), room(20), 500, NO_PROBE), "b");
    }

    /** A server without news gets few reads, and only such that have the time. */
    @Test
    public void probesRarelyAndWhereTheObjectiveBearsIt() {
        LearnedServerRoom slow = room(80);
        LearnedServerRoom fast = room(20);
        mNow += 100 * MILLI;
        read(fast, 20);
        mNow += 300 * MILLI;
        int probes = 0;
        Random random = new Random(5);
        for (int read = 0; read < 1_000; read++) {
            probes += chooseLearned(slow, fast, 500, random.nextDouble()).equals("a") ? 1 : 0;
        }
        assertTrue(probes > 10 && probes < 100, "probes " + probes);
        assertEquals(chooseLearned(slow, fast, 60, 0), "b", "no time for a probe");
        slow.onSent(READ, mNow);
        assertEquals(chooseLearned(slow, fast, 500, 0), "b", "one probe at a time");
    }

    /** Without learned rooms nothing is probed. */
    @Test
    public void probesNothingWithoutLearnedRooms() {
        ServerHealth slow = new ServerHealth();
        for (int index = 0; index < 50; index++) {
            slow.onAnswer(0, 80 * MILLI);
        }
        mNow += 10_000 * MILLI;
        List<ReadCandidate> candidates =
                List.of(
                        candidate("a", slow, new UnlimitedServerRoom(), 0),
                        candidate("b", new ServerHealth(), new UnlimitedServerRoom(), 0));
        assertEquals(
                choose(ReadTimeEstimate.byResponseTimes(), candidates, 500, 0), Optional.of("b"));
    }
}
