package org.plantainferry.engine.placement;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.engine.placement.OpeningChoice.Waiting;
import org.testng.annotations.Test;

/**
 * Guards against the pattern of many workspaces at one primary with few connections: opening one
 * for each request in turn uses up the server.
 */
public final class OpeningChoiceTest {
    private static final long MILLI = 1_000_000L;

    @Test
    public void opensForTheFirstRequestWhenAllJustArrived() {
        List<Waiting> waiting = List.of(new Waiting("a", 0), new Waiting("b", 0));
        assertEquals(OpeningChoice.choose(waiting, Map.of()), Optional.of("a"));
    }

    @Test
    public void opensForTheWorkspaceWhoseRequestsWaitMostTogether() {
        List<Waiting> waiting = new ArrayList<>();
        waiting.add(new Waiting("small", 30 * MILLI));
        for (int index = 0; index < 5; index++) {
            waiting.add(new Waiting("large", 20 * MILLI));
        }
        assertEquals(OpeningChoice.choose(waiting, Map.of()), Optional.of("large"));
    }

    @Test
    public void doesNotForgetTheOnlyRequestOfASmallWorkspace() {
        List<Waiting> waiting = new ArrayList<>();
        waiting.add(new Waiting("small", 150 * MILLI));
        for (int index = 0; index < 5; index++) {
            waiting.add(new Waiting("large", 20 * MILLI));
        }
        assertEquals(OpeningChoice.choose(waiting, Map.of()), Optional.of("small"));
    }

    @Test
    public void opensNoSecondConnectionForARequestThatGetsOneAlready() {
        List<Waiting> waiting = List.of(new Waiting("a", 9 * MILLI), new Waiting("b", 1 * MILLI));
        assertEquals(OpeningChoice.choose(waiting, Map.of("a", 1)), Optional.of("b"));
        assertEquals(OpeningChoice.choose(waiting, Map.of("a", 1, "b", 1)), Optional.empty());
    }
}
