package org.plantainferry.engine.promotion;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against the replacement of a primary that only this instance cannot reach. */
public final class SuspicionVoteTest {
    @Test
    public void keepsAPrimaryThatAnyInstanceReaches() {
        SuspicionVote vote = new SuspicionVote(3);
        vote.onAnswer(false);
        vote.onAnswer(true);
        assertEquals(vote.isDecided(), true);
        assertEquals(vote.verdict(), SuspicionVote.Verdict.KEEP);
    }

    @Test
    public void replacesAPrimaryThatNobodyReaches() {
        SuspicionVote vote = new SuspicionVote(2);
        vote.onAnswer(false);
        assertEquals(vote.isDecided(), false);
        vote.onAnswer(false);
        assertEquals(vote.verdict(), SuspicionVote.Verdict.REPLACE);
    }

    @Test
    public void saysNothingWhereNoOtherInstanceAnswers() {
        assertEquals(new SuspicionVote(4).verdict(), SuspicionVote.Verdict.UNKNOWN);
    }

    @Test
    public void letsAnOnlyInstanceDecide() {
        assertEquals(new SuspicionVote(0).verdict(), SuspicionVote.Verdict.REPLACE);
    }
}
