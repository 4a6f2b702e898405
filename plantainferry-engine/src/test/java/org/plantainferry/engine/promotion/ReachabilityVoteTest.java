package org.plantainferry.engine.promotion;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against the replacement of a primary that only this instance cannot reach. */
public final class ReachabilityVoteTest {
    @Test
    public void keepsPrimaryReachedByAnyInstance() {
        ReachabilityVote vote = new ReachabilityVote(3);
        vote.onAnswer(false);
        vote.onAnswer(true);
        assertEquals(vote.isDecided(), true);
        assertEquals(vote.verdict(), ReachabilityVote.Verdict.KEEP);
    }

    @Test
    public void replacesPrimaryReachedByNoInstance() {
        ReachabilityVote vote = new ReachabilityVote(2);
        vote.onAnswer(false);
        assertEquals(vote.isDecided(), false);
        vote.onAnswer(false);
        assertEquals(vote.verdict(), ReachabilityVote.Verdict.REPLACE);
    }

    @Test
    public void verdictIsUnknownWithoutAnswers() {
        assertEquals(new ReachabilityVote(4).verdict(), ReachabilityVote.Verdict.UNKNOWN);
    }

    @Test
    public void singleInstanceReplacesPrimary() {
        assertEquals(new ReachabilityVote(0).verdict(), ReachabilityVote.Verdict.REPLACE);
    }
}
