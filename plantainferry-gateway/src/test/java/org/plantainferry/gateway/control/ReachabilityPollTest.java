package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.plantainferry.engine.promotion.ReachabilityVote.Verdict;
import org.plantainferry.gateway.peer.generated.ReachabilityAnswer;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a poll whose answers arrive twice or late. */
public final class ReachabilityPollTest {
    private static final long SEED = 20261206;
    private static final long FIRST_NUMBER = (new Random(SEED).nextLong() >>> 1) + 1;
    private static final InstanceEntry THIRD = ExchangeFixture.entry("i3", "zone");

    private final List<Verdict> mVerdicts = new ArrayList<>();
    private Optional<InstanceEntry> mReachedBy;
    private ExchangeFixture mFixture;
    private ReachabilityPoll mPoll;

    @BeforeMethod
    public void createPoll() {
        mFixture = new ExchangeFixture();
        mPoll =
                new ReachabilityPoll(
                        mFixture.loop(), "i1", mFixture.peers(), null, new Random(SEED));
        mVerdicts.clear();
        mReachedBy = Optional.empty();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mFixture.close();
    }

    private void ask() {
        mPoll.onOtherInstances(Map.of("i2", ExchangeFixture.entry("i2", "zone"), "i3", THIRD));
        mPoll.ask(
                "server",
                (verdict, reachedBy) -> {
                    mVerdicts.add(verdict);
                    mReachedBy = reachedBy;
                });
    }

    private void answerFirstPoll(String instance, boolean reached) {
        mPoll.onAnswer(
                instance,
                ReachabilityAnswer.newBuilder()
                        .setNumber(FIRST_NUMBER)
                        .setServer("server")
                        .setReached(reached)
                        .build());
    }

    /**
     * Guards against an instance that takes itself for the only one after the store lost entries.
     */
    @Test(timeOut = 20_000)
    public void reachesNoVerdictBeforeTheListOfInstancesIsComplete() throws Exception {
        mFixture.run(() -> mPoll.ask("server", (verdict, reachedBy) -> mVerdicts.add(verdict)));
        assertEquals(mVerdicts, List.of(Verdict.UNKNOWN));
    }

    /** Guards against the replacement of a primary that an instance reaches. */
    @Test(timeOut = 20_000)
    public void keepsAPrimaryThatAnInstanceReachesAfterTheAnswerOfAnotherCameTwice()
            throws Exception {
        mFixture.run(
                () -> {
                    ask();
                    answerFirstPoll("i2", false);
                    answerFirstPoll("i2", false);
                    answerFirstPoll("i3", true);
                });
        assertEquals(mVerdicts, List.of(Verdict.KEEP));
        assertEquals(mReachedBy, Optional.of(THIRD));
    }

    /** Guards against an answer to an earlier poll that decides the next one. */
    @Test(timeOut = 20_000)
    public void ignoresAnswersToAPollThatHasEnded() throws Exception {
        mFixture.run(
                () -> {
                    ask();
                    answerFirstPoll("i2", true);
                    ask();
                    answerFirstPoll("i2", true);
                    answerFirstPoll("i3", false);
                });
        assertEquals(mVerdicts, List.of(Verdict.KEEP));
    }
}
