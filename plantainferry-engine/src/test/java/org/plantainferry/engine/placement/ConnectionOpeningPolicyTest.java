package org.plantainferry.engine.placement;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.engine.placement.ConnectionOpeningPolicy.WaitingRequest;
import org.testng.annotations.Test;

/**
 * Guards against the pattern of many workspaces at one primary with few connections: opening one
 * for each request in turn uses up the server.
 */
public final class ConnectionOpeningPolicyTest {
    private static final long MILLI = 1_000_000L;

    @Test
    public void opensForTheFirstRequestWhenAllJustArrived() {
        List<WaitingRequest> waiting =
                List.of(new WaitingRequest("a", 0), new WaitingRequest("b", 0));
        assertEquals(ConnectionOpeningPolicy.choose(waiting, Map.of()), Optional.of("a"));
    }

    @Test
    public void opensForTheWorkspaceWithTheGreatestTotalWaitingTime() {
        List<WaitingRequest> waiting = new ArrayList<>();
        waiting.add(new WaitingRequest("small", 30 * MILLI));
        for (int index = 0; index < 5; index++) {
            waiting.add(new WaitingRequest("large", 20 * MILLI));
        }
        assertEquals(ConnectionOpeningPolicy.choose(waiting, Map.of()), Optional.of("large"));
    }

    @Test
    public void opensForASingleRequestThatHasWaitedLong() {
        List<WaitingRequest> waiting = new ArrayList<>();
        waiting.add(new WaitingRequest("small", 150 * MILLI));
        for (int index = 0; index < 5; index++) {
            waiting.add(new WaitingRequest("large", 20 * MILLI));
        }
        assertEquals(ConnectionOpeningPolicy.choose(waiting, Map.of()), Optional.of("small"));
    }

    @Test
    public void opensNoSecondConnectionForARequestWithAPendingOpening() {
        List<WaitingRequest> waiting =
                List.of(new WaitingRequest("a", 9 * MILLI), new WaitingRequest("b", 1 * MILLI));
        assertEquals(ConnectionOpeningPolicy.choose(waiting, Map.of("a", 1)), Optional.of("b"));
        assertEquals(
                ConnectionOpeningPolicy.choose(waiting, Map.of("a", 1, "b", 1)), Optional.empty());
    }
}
