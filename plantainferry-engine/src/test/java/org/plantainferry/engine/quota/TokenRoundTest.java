package org.plantainferry.engine.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainferry.engine.quota.TokenRound.Step;
import org.testng.annotations.Test;

/**
 * Guards against operations inside a limit that are refused because its owners are slow to answer,
 * as all are in the first seconds after a restart of the fleet.
 */
public final class TokenRoundTest {
    @Test
    public void acceptsAGrantOfAnOwnerThatAnswersLate() {
        TokenRound round = new TokenRound(List.of("a", "b"));
        assertEquals(round.begin(), Step.ASK_NEXT);
        assertEquals(round.ask(), "a");
        assertEquals(round.onSilence("a"), Step.ASK_NEXT);
        assertEquals(round.ask(), "b");
        assertEquals(round.onSilence("b"), Step.AWAIT_LATE_ANSWERS);
        assertTrue(round.onGrant());
    }

    @Test
    public void countsOneGrantOnly() {
        TokenRound round = new TokenRound(List.of("a", "b"));
        round.ask();
        round.onSilence("a");
        round.ask();
        assertTrue(round.onGrant());
        assertFalse(round.onGrant());
        assertEquals(round.onSilence("b"), Step.NONE);
    }

    @Test
    public void refusesAtOnceWhenEveryOwnerHasRefused() {
        TokenRound round = new TokenRound(List.of("a", "b"));
        round.ask();
        assertEquals(round.onRefusal("a", 300), Step.ASK_NEXT);
        round.ask();
        assertEquals(round.onRefusal("b", 200), Step.REFUSED);
        assertEquals(round.shortestRetryMillis(), 200);
        assertFalse(round.giveUp());
    }

    @Test
    public void refusesWhenTheLastMissingAnswerIsARefusal() {
        TokenRound round = new TokenRound(List.of("a", "b"));
        round.ask();
        round.onSilence("a");
        round.ask();
        assertEquals(round.onRefusal("b", 0), Step.AWAIT_LATE_ANSWERS);
        assertEquals(round.onRefusal("a", 40), Step.REFUSED);
    }

    @Test
    public void keepsAskingWhenAnEarlierOwnerRefusesLate() {
        TokenRound round = new TokenRound(List.of("a", "b", "c"));
        round.ask();
        round.onSilence("a");
        round.ask();
        assertEquals(round.onRefusal("a", 0), Step.NONE);
        assertEquals(round.onSilence("b"), Step.ASK_NEXT);
    }

    @Test
    public void endsWithoutLenders() {
        assertEquals(new TokenRound(List.of()).begin(), Step.REFUSED);
    }

    @Test
    public void endsWhenLateAnswersAreNotAwaitedAnyLonger() {
        TokenRound round = new TokenRound(List.of("a"));
        round.ask();
        round.onSilence("a");
        assertTrue(round.giveUp());
        assertFalse(round.onGrant());
    }
}
