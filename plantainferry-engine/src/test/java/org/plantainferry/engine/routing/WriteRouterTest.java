package org.plantainferry.engine.routing;

import static org.plantainferry.engine.routing.GroupFixtures.A;
import static org.plantainferry.engine.routing.GroupFixtures.B;
import static org.plantainferry.engine.routing.GroupFixtures.MILLI;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against writes at replaced primaries and against refusals near the deadline. */
public class WriteRouterTest {
    private static final RoutingDecision WAIT = new RoutingDecision.WaitForPrimary(25 * MILLI);

    private final WriteRouter mRouter = new WriteRouter();

    private RoutingDecision choose(GroupRoutingState view, long deadline, long waited, long now) {
        return mRouter.choose(new WriteRequirement(0, deadline, waited), view, Set.of(), now);
    }

    /** A write must follow the primary of the highest term. */
    @Test
    public void followsPrimaryOfHighestTerm() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        long deadline = 5_000 * MILLI;
        assertEquals(
                choose(view, deadline, 0, MILLI),
                new RoutingDecision.UseServer(A, 0, RouteReason.PRIMARY));
        view.learnPrimary(2, Optional.empty());
        assertEquals(choose(view, deadline, 0, 2 * MILLI), WAIT);
        view.learnPrimary(2, Optional.of(B));
        assertEquals(
                choose(view, deadline, MILLI, 3 * MILLI),
                new RoutingDecision.UseServer(B, 0, RouteReason.PRIMARY));
    }

    /** A token of a newer term proves that the known primary has been replaced. */
    @Test
    public void waitsWhenTokenHasNewerTerm() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        RoutingDecision decision =
                mRouter.choose(new WriteRequirement(2, 5_000 * MILLI, 0), view, Set.of(), MILLI);
        assertEquals(decision, WAIT);
        assertEquals(view.primary(), Optional.empty());
    }

    /** A write that cannot be served in time must be refused early and with a truthful time. */
    @Test
    public void refusesImmediatelyWhenReplacementTakesTooLong() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.learnPrimary(2, Optional.empty());
        assertEquals(choose(view, 2_000 * MILLI, 0, 0), new RoutingDecision.Unavailable(1_500));
    }

    /** A waiting write must give up by half of its deadline. */
    @Test
    public void givesUpAtHalfOfTheDeadline() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.learnPrimary(2, Optional.empty());
        long now = 0;
        while (choose(view, 5_000 * MILLI, now, now) instanceof RoutingDecision.WaitForPrimary) {
            now += 25 * MILLI;
        }
        assertTrue(now >= 2_000 * MILLI && now <= 2_500 * MILLI, "gave up after " + now);
    }

    /** One write at a time may try a primary that failed, so that it comes back. */
    @Test
    public void probesFailedPrimaryAfterBackoff() {
        GroupRoutingState view = GroupFixtures.caughtUpGroup();
        view.observeFailure(A, 0);
        long deadline = 5_000 * MILLI;
        assertEquals(choose(view, deadline, 0, MILLI), WAIT);
        assertTrue(choose(view, deadline, 0, 51 * MILLI) instanceof RoutingDecision.UseServer);
        assertEquals(choose(view, deadline, 0, 52 * MILLI), WAIT);
    }
}
