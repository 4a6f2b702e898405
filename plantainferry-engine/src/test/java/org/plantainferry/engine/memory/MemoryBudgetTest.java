package org.plantainferry.engine.memory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against crowds of clients that fill the memory of a process, and against closing the
 * connections of others in their place.
 */
public final class MemoryBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MESSAGE = 100;
    private static final long SMALL = 10;
    private static final long HIGH = 1_000;

    private MemoryBudget<String> mBudget;

    @BeforeMethod
    public void createBudget() {
        mBudget = new MemoryBudget<>(new MemoryLimits(HIGH, MESSAGE, SMALL, 2 * SECOND));
    }

    private MemoryShare<String> holding(String name, Holding holding, long bytes, long nowNanos) {
        MemoryShare<String> share = mBudget.open(name);
        share.hold(holding, bytes, nowNanos);
        return share;
    }

    private List<MemoryShare<String>> crowd(int count, Holding holding, long bytes) {
        List<MemoryShare<String>> crowd = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            crowd.add(holding("crowd-" + index, holding, bytes, 0));
        }
        return crowd;
    }

    /** Answers callers inside the limits: nothing changes for them. */
    @Test
    public void letsLongMessagesArriveTogetherWhileLittleIsHeld() {
        for (MemoryShare<String> share : crowd(4, Holding.RECEIVED, MESSAGE)) {
            assertTrue(mBudget.mayReceive(share, SECOND));
        }
        assertEquals(mBudget.decide(SECOND), new MemoryDecision<>(List.of(), List.of()));
    }

    /** Answers a crowd that sends long messages at once: they arrive one after the other. */
    @Test
    public void givesTurnsToLongMessagesAsFarAsThereIsRoom() {
        List<MemoryShare<String>> crowd = crowd(35, Holding.RECEIVED, 20);
        List<MemoryShare<String>> receiving =
                crowd.stream().filter(share -> mBudget.mayReceive(share, 0)).toList();
        assertEquals(receiving, crowd.subList(0, 3));
        assertEquals(mBudget.decide(SECOND).resumed(), List.of());
        receiving.get(0).hold(Holding.RECEIVED, 0, SECOND);
        assertTrue(mBudget.needsDecision());
        MemoryDecision<String> decision = mBudget.decide(SECOND);
        assertEquals(decision, new MemoryDecision<>(List.of("crowd-3"), List.of()));
    }

    /** Answers the same crowd: a short message needs no turn. */
    @Test
    public void letsShortMessagesArriveBesideACrowdThatWaits() {
        crowd(35, Holding.RECEIVED, 20).forEach(share -> mBudget.mayReceive(share, 0));
        assertTrue(mBudget.mayReceive(holding("ordinary", Holding.RECEIVED, SMALL, SECOND), 0));
    }

    /** Answers a crowd that stops half-way: one that does not use its turn makes room. */
    @Test
    public void closesOneThatDoesNotEndItsMessageInItsTurn() {
        List<MemoryShare<String>> crowd = crowd(35, Holding.RECEIVED, 20);
        crowd.forEach(share -> mBudget.mayReceive(share, 0));
        MemoryDecision<String> decision = mBudget.decide(2 * SECOND);
        assertEquals(decision.closed(), List.of("crowd-0", "crowd-1", "crowd-2"));
        assertEquals(decision.resumed(), List.of("crowd-3", "crowd-4", "crowd-5"));
    }

    /** Answers a crowd that stops half-way with nobody else there: its members keep their room. */
    @Test
    public void closesNobodyForALateTurnWhileNobodyWaits() {
        MemoryShare<String> share = holding("slow", Holding.RECEIVED, MESSAGE, 0);
        holding("other", Holding.QUEUED, 500, 0);
        assertTrue(mBudget.mayReceive(share, 0));
        assertEquals(mBudget.decide(20 * SECOND).closed(), List.of());
    }

    /** Answers a crowd of which all are half-way and no turn fits: one of them makes room. */
    @Test
    public void closesTheOneWithTheLeastProgressWhenAllWait() {
        holding("unread", Holding.UNREAD, 900, 5 * SECOND);
        MemoryShare<String> share = holding("waiting", Holding.RECEIVED, 50, 4 * SECOND);
        assertFalse(mBudget.mayReceive(share, 5 * SECOND));
        assertEquals(mBudget.decide(5 * SECOND).closed(), List.of());
        assertEquals(mBudget.decide(6 * SECOND).closed(), List.of());
        MemoryDecision<String> decision = mBudget.decide(7 * SECOND);
        assertEquals(decision, new MemoryDecision<>(List.of("waiting"), List.of("unread")));
    }

    /** Answers the same crowd: each one that is closed gives the others the time of a turn. */
    @Test
    public void closesNoMoreThanOneForEachTurnWhenAllWait() {
        holding("working", Holding.QUEUED, 900, 0);
        holding("most", Holding.UNREAD, 40, 0);
        holding("less", Holding.UNREAD, 30, 0);
        MemoryShare<String> share = holding("waiting", Holding.RECEIVED, 20, 4 * SECOND);
        assertFalse(mBudget.mayReceive(share, 5 * SECOND));
        assertEquals(mBudget.decide(5 * SECOND).closed(), List.of());
        assertEquals(mBudget.decide(7 * SECOND).closed(), List.of("most"));
        assertEquals(mBudget.decide(7 * SECOND + SECOND / 10).closed(), List.of());
        assertEquals(mBudget.decide(9 * SECOND).closed(), List.of("less"));
    }

    /**
     * Answers a crowd that reads very slowly: bytes weigh with the time for which they are held.
     */
    @Test
    public void closesThoseFirstWhoHoldMostForLongest() {
        holding("new", Holding.UNREAD, 500, 9 * SECOND);
        holding("old", Holding.UNREAD, 300, 0);
        holding("small", Holding.UNREAD, SMALL, 0);
        holding("newest", Holding.RECEIVED, 400, 10 * SECOND);
        assertEquals(mBudget.decide(10 * SECOND).closed(), List.of("old"));
    }

    /** Answers a crowd of sessions that keep long values: they count as what the caller holds. */
    @Test
    public void closesSessionsWithLongValuesBeforeStatementsInProgress() {
        crowd(5, Holding.SESSION, 180);
        holding("working", Holding.QUEUED, 300, 0);
        assertEquals(mBudget.decide(SECOND).closed().size(), 2);
        assertEquals(mBudget.owners().contains("working"), true);
    }

    /** Answers a crowd that holds little each, beside a caller with a statement in progress. */
    @Test
    public void closesManySmallHoldersBeforeOneThatWaitsForItsAnswer() {
        crowd(95, Holding.RECEIVED, SMALL);
        holding("working", Holding.QUEUED, 200, 0);
        assertEquals(mBudget.decide(SECOND).closed().size(), 15);
        assertEquals(mBudget.owners().contains("working"), true);
    }

    /** Answers long answers that servers send at once: above the mark some are given up. */
    @Test
    public void closesAnswersInProgressWhenNothingElseIsHeld() {
        crowd(11, Holding.GATHERED, MESSAGE);
        assertEquals(mBudget.decide(SECOND).closed().size(), 1);
    }

    /** Answers a process that is refused memory although less is held than may be. */
    @Test
    public void closesSomeoneWheneverMemoryIsRefused() {
        crowd(7, Holding.UNREAD, MESSAGE);
        assertEquals(mBudget.relieve(SECOND).size(), 2);
        assertEquals(mBudget.relieve(SECOND).size(), 1);
        assertEquals(mBudget.heldBytes(), 400);
    }

    /** Answers a client that disconnects in its turn, or while it waits for it. */
    @Test
    public void passesOnTheRoomOfConnectionsThatEnd() {
        List<MemoryShare<String>> crowd = crowd(35, Holding.RECEIVED, 20);
        crowd.forEach(share -> mBudget.mayReceive(share, 0));
        crowd.get(0).close();
        crowd.get(3).close();
        crowd.get(3).hold(Holding.RECEIVED, 50, SECOND);
        assertEquals(mBudget.heldBytes(), 33 * 20);
        assertEquals(mBudget.decide(SECOND).resumed(), List.of("crowd-4"));
    }
}
