package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.freshness.TimedPosition;
import org.plantainferry.engine.membership.DomainRepresentatives;
import org.plantainferry.gateway.peer.generated.PositionAnswer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a read on an old log, after an answer with an old position came late or twice. */
public final class PositionExchangeTest {
    private static final long SEED = 20261206;
    private static final long FIRST_NUMBER = (new Random(SEED).nextLong() >>> 1) + 1;
    private static final String SERVICE = "service";
    private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final BlockingQueue<Optional<TimedPosition>> mPositions = new LinkedBlockingQueue<>();
    private ExchangeFixture mFixture;
    private PositionExchange mExchange;

    /** Creates the exchange of an instance that asks the other one of its failure domain. */
    @BeforeMethod
    public void createExchange() throws Exception {
        mFixture = new ExchangeFixture();
        String sampler = sampler();
        String asking = sampler.equals("i1") ? "i2" : "i1";
        mExchange =
                new PositionExchange(
                        mFixture.loop(),
                        ExchangeFixture.settings(asking, "zone"),
                        mFixture.traffic(Map.of()),
                        mFixture.peers(),
                        mFixture::nowNanos,
                        new Random(SEED));
        mFixture.run(
                () ->
                        mExchange.onOtherInstances(
                                Map.of(sampler, ExchangeFixture.entry(sampler, "zone"))));
        mPositions.clear();
    }

    private static String sampler() {
        DomainRepresentatives representatives =
                new DomainRepresentatives("position " + SERVICE, 1_000);
        representatives.onInstances(Map.of("i1", "zone", "i2", "zone"));
        return representatives.representative("zone", 0).orElseThrow();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mFixture.close();
    }

    private static PositionAnswer answer(long number, long position) {
        return PositionAnswer.newBuilder()
                .setNumber(number)
                .setKnown(true)
                .setTerm(1)
                .setPosition(position)
                .setAgeMillis(5)
                .build();
    }

    private Optional<TimedPosition> nextPosition() throws Exception {
        return mPositions.poll(10, TimeUnit.SECONDS);
    }

    @Test(timeOut = 20_000)
    public void countsTheAgeOfALateAnswerFromItsQuestion() throws Exception {
        long askedNanos = mFixture.nowNanos();
        mExchange.requestPosition(SERVICE, 10, mPositions::add);
        mFixture.run(
                () -> {
                    mFixture.advanceMillis(60);
                    mExchange.onAnswer(answer(FIRST_NUMBER, 42));
                });
        TimedPosition expected =
                new TimedPosition(new LogPosition(1, 42), askedNanos - 5 * MILLI_NANOS);
        assertEquals(nextPosition(), Optional.of(expected));
    }

    @Test(timeOut = 20_000)
    public void givesNoLaterRequestThePositionOfAnAnswerThatArrivesTwice() throws Exception {
        mExchange.requestPosition(SERVICE, 10, mPositions::add);
        mFixture.run(() -> mExchange.onAnswer(answer(FIRST_NUMBER, 42)));
        assertEquals(nextPosition().orElseThrow().position(), new LogPosition(1, 42));
        mExchange.requestPosition(SERVICE, 10, mPositions::add);
        mFixture.run(
                () -> {
                    mExchange.onAnswer(answer(FIRST_NUMBER, 42));
                    mExchange.onAnswer(answer(FIRST_NUMBER + 1, 43));
                });
        assertEquals(nextPosition().orElseThrow().position(), new LogPosition(1, 43));
        assertTrue(mPositions.isEmpty(), "further positions: " + mPositions);
    }

    @Test(timeOut = 20_000)
    public void ignoresAnAnswerAfterTheRequestHasEnded() throws Exception {
        mExchange.requestPosition(SERVICE, 10, mPositions::add);
        assertEquals(nextPosition(), Optional.empty());
        mFixture.run(() -> mExchange.onAnswer(answer(FIRST_NUMBER, 42)));
        mFixture.run(() -> {});
        assertEquals(List.copyOf(mPositions), List.of());
    }

    // After a loss of all instances, each sampled the primaries itself because answers took longer
    // than 80 ms, which made all of them busier.
    @Test(timeOut = 20_000)
    public void asksAnInstanceAgainWhoseAnswerTookLongerThanUsual() throws Exception {
        mExchange.requestPosition(SERVICE, 10, mPositions::add);
        assertEquals(nextPosition(), Optional.empty());
        mFixture.run(
                () -> {
                    mFixture.advanceMillis(200);
                    mExchange.onAnswer(answer(FIRST_NUMBER, 42));
                });
        mExchange.requestPosition(SERVICE, 10, mPositions::add);
        mFixture.run(() -> mExchange.onAnswer(answer(FIRST_NUMBER + 1, 43)));
        assertEquals(nextPosition().orElseThrow().position(), new LogPosition(1, 43));
    }
}
