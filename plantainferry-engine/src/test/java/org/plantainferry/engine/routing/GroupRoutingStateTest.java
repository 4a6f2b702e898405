package org.plantainferry.engine.routing;

import static org.plantainferry.engine.routing.GroupFixtures.A;
import static org.plantainferry.engine.routing.GroupFixtures.B;
import static org.plantainferry.engine.routing.GroupFixtures.C;
import static org.plantainferry.engine.routing.GroupFixtures.MILLI;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.ServerRole;
import org.plantainferry.api.session.LogPosition;
import org.testng.annotations.Test;

/** Guards against a view of the group that goes back in terms or never recovers. */
public class GroupRoutingStateTest {
    /** A late answer of the old primary would bring it back as primary. */
    @Test
    public void ignoresPrimaryOfLowerTerm() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observe(GroupFixtures.primary(B, 2, 101), MILLI);
        view.observe(GroupFixtures.primary(A, 1, 150), 2 * MILLI);
        assertEquals(view.primary(), Optional.of(B));
        assertEquals(view.term(), 2);
        assertEquals(view.estimatedPosition(A, 2 * MILLI), 0);
    }

    /** A primary must not be kept when only a newer term is known. */
    @Test
    public void clearsPrimaryWhenReplicaReportsNewerTerm() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observe(GroupFixtures.replica(C, 2, 100, 0), MILLI);
        assertEquals(view.primary(), Optional.empty());
        view.learnPrimary(2, Optional.of(B));
        view.learnPrimary(2, Optional.of(A));
        assertEquals(view.primary(), Optional.of(B));
    }

    /** Answers to statements lack the leaving mark, so they would make a server usable again. */
    @Test
    public void keepsLeavingMarkUntilStateShowsOtherwise() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observeRefusal(B, 1, 100, true, false, MILLI);
        view.observeAnswer(B, ServerRole.REPLICA, 1, 100, 0, 2 * MILLI);
        assertTrue(view.isLeaving(B));
        view.observe(GroupFixtures.replica(B, 1, 100, 0), 3 * MILLI);
        assertTrue(!view.isLeaving(B));
    }

    /** A refusal does not tell the lag, so it must not make old data look fresh. */
    @Test
    public void keepsLagAfterRefusal() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observe(GroupFixtures.replica(B, 1, 90, 800), MILLI);
        view.observeRefusal(B, 1, 90, false, false, 2 * MILLI);
        assertTrue(view.estimatedLagMillis(B, 3 * MILLI) > 700);
    }

    /** A refusal "not primary" in the same term must end the use of that server for writes. */
    @Test
    public void clearsPrimaryThatDeniesItsRole() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observeRefusal(A, 1, 100, false, true, MILLI);
        assertEquals(view.primary(), Optional.empty());
    }

    /** Without the measured delay each read after a write would be answered "behind". */
    @Test
    public void estimatesPositionFromMeasuredDelay() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observe(GroupFixtures.primary(A, 1, 101), 100 * MILLI);
        view.observe(GroupFixtures.replica(B, 1, 100, 0), 110 * MILLI);
        assertEquals(view.estimatedPosition(B, 109 * MILLI), 100);
        assertEquals(view.estimatedPosition(B, 111 * MILLI), 101);
        view.observe(GroupFixtures.primary(A, 1, 102), 200 * MILLI);
        assertEquals(view.estimatedPosition(B, 205 * MILLI), 100 + 1);
        assertEquals(view.estimatedPosition(B, 211 * MILLI), 102);
    }

    /** A replica that was far behind once would otherwise never get a read again. */
    @Test
    public void triesReplicaThatWasFarBehindAgainAfterSomeSeconds() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observe(GroupFixtures.replica(B, 1, 50, 10_000), MILLI);
        long later = 12_000 * MILLI;
        view.observe(GroupFixtures.primary(A, 1, 200), later - 100 * MILLI);
        assertEquals(view.estimatedPosition(B, later), 200);
    }

    /** A position from a token of another instance must count as reached by the log. */
    @Test
    public void learnsLogPositionFromToken() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observeLogPosition(new LogPosition(1, 120), MILLI);
        assertEquals(view.estimatedPosition(A, MILLI), 120);
        view.observeLogPosition(new LogPosition(3, 130), MILLI);
        assertEquals(view.term(), 3);
        assertEquals(view.primary(), Optional.empty());
    }

    /** Servers without traffic must be asked for their state, but not in a tight loop. */
    @Test
    public void probesUnusableServersWithBackoff() {
        GroupRoutingState view = new GroupRoutingState(GroupFixtures.SERVICE);
        assertEquals(view.takeDueStateProbes(0), GroupFixtures.ALL);
        assertEquals(view.takeDueStateProbes(MILLI), List.of());
        view.observe(GroupFixtures.primary(A, 1, 1), MILLI);
        view.observe(GroupFixtures.replica(B, 1, 1, 0), MILLI);
        assertEquals(view.takeDueStateProbes(51 * MILLI), List.of(C));
        assertEquals(view.takeDueStateProbes(100 * MILLI), List.of());
        assertEquals(view.takeDueStateProbes(102 * MILLI), List.of(C));
        assertEquals(view.takeDueStateProbes(201 * MILLI), List.of());
        view.learnPrimary(2, Optional.of(B));
        assertEquals(view.takeDueStateProbes(201 * MILLI), GroupFixtures.ALL);
    }

    /** An answer that comes after the removal of its server must not fail or bring it back. */
    @Test
    public void ignoresServerThatIsNotInTheService() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observe(GroupFixtures.primary(new org.plantainferry.api.ServerId("x"), 9, 1), MILLI);
        assertEquals(view.term(), 1);
    }
}
