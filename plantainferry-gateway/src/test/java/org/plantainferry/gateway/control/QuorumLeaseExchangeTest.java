package org.plantainferry.gateway.control;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.peer.generated.DomainContact;
import org.plantainferry.gateway.peer.generated.LeadAnswer;
import org.plantainferry.gateway.peer.generated.LeadQuestion;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoreAnswer;
import org.plantainferry.gateway.spi.StoredClaim;
import org.plantainferry.gateway.traffic.PrimaryLeaseGuard;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a lease that is held on the word of answers or questions that come again. */
public final class QuorumLeaseExchangeTest {
    private static final long SEED = 20261206;
    private static final String SERVICE = "service";
    private static final long LEASE_MILLIS = 900;
    private static final long CHECK_INTERVAL_MILLIS = 150;
    private static final int RECEIVE_MILLIS = 20;
    private static final int MAX_BYTES = 2_048;
    private static final InetSocketAddress SENDER = new InetSocketAddress(ExchangeFixture.LOCAL, 9);

    private ClaimedStore mStore;
    private ExchangeFixture mFixture;
    private PrimaryLeaseGuard mGuard;
    private QuorumLeaseExchange mExchange;
    private long mFirstNumber;
    private long mProcessId;

    /** Has a claim to the group, so that the lease of the store does not apply to it. */
    private static final class ClaimedStore implements ClaimStore {
        private volatile boolean mReachable = true;

        @Override
        public CompletableFuture<StoreAnswer<Map<String, PromotionClaim>>> readAll() {
            if (!mReachable) {
                return CompletableFuture.failedFuture(new IOException("unreachable"));
            }
            PromotionClaim claim = new PromotionClaim("i9", 1, true, PromotionOrder.NONE, false);
            return CompletableFuture.completedFuture(
                    new StoreAnswer<>(StoreEpoch.UNKNOWN, Map.of(SERVICE, claim)));
        }

        @Override
        public CompletableFuture<StoreAnswer<Optional<StoredClaim>>> read(String service) {
            throw new AssertionError("unexpected read of a single claim");
        }

        @Override
        public CompletableFuture<StoreAnswer<Boolean>> write(
                String service, Optional<Long> expectedVersion, PromotionClaim claim) {
            throw new AssertionError("unexpected write");
        }
    }

    @BeforeMethod
    public void createExchange() {
        mFixture = new ExchangeFixture();
        mStore = new ClaimedStore();
        mGuard = new PrimaryLeaseGuard(mFixture::nowNanos);
        mExchange =
                new QuorumLeaseExchange(
                        mFixture.loop(),
                        ExchangeFixture.settings("i1", "a"),
                        mFixture.peers(),
                        mStore,
                        new StoreEpochTracker(),
                        () -> true,
                        mFixture::nowNanos,
                        mGuard,
                        new Random(SEED));
        Random random = new Random(SEED);
        mFirstNumber = (random.nextLong() >>> 1) + 1;
        mProcessId = random.nextLong() >>> 1;
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mFixture.close();
    }

    private void start(Map<String, InstanceEntry> others) throws Exception {
        mFixture.run(
                () -> {
                    mExchange.start();
                    mExchange.onOtherInstances(others);
                });
        // The claims are applied by a further task.
        mFixture.run(() -> {});
    }

    private void startWithOtherDomains() throws Exception {
        start(
                Map.of(
                        "i2",
                        ExchangeFixture.entry("i2", "b"),
                        "i3",
                        ExchangeFixture.entry("i3", "c")));
    }

    private void startWithOwnDomain() throws Exception {
        start(
                Map.of(
                        "i2",
                        ExchangeFixture.entry("i2", "a"),
                        "i3",
                        ExchangeFixture.entry("i3", "a")));
    }

    /** Passes on an answer of the other domain {@code b} to the first question. */
    private void answerFirstQuestion() {
        mExchange.onAnswer(
                LeadAnswer.newBuilder()
                        .setNumber(mFirstNumber)
                        .setProcess(1)
                        .setStamp(1)
                        .addContacts(
                                DomainContact.newBuilder().setFailureDomain("b").setInstances(1))
                        .build());
    }

    /** Passes on a question that repeats a stamp of this process. */
    private void ask(long processId, long stampNanos) {
        LeadQuestion question =
                LeadQuestion.newBuilder()
                        .setNumber(1)
                        .setProcess(processId)
                        .setStamp(stampNanos)
                        .build();
        mExchange.onQuestion("i2", question, SENDER);
        mExchange.publish();
    }

    private boolean isHeld() {
        return mGuard.isLeaseHeld(SERVICE);
    }

    @Test(timeOut = 20_000)
    public void holdsNoLeaseLongerWhenAnAnswerArrivesTwice() throws Exception {
        startWithOtherDomains();
        assertFalse(isHeld());
        mFixture.run(
                () -> {
                    answerFirstQuestion();
                    assertTrue(isHeld());
                    mFixture.advanceMillis(LEASE_MILLIS - 10);
                    assertTrue(isHeld());
                    answerFirstQuestion();
                    mFixture.advanceMillis(20);
                    assertFalse(isHeld());
                });
    }

    @Test(timeOut = 20_000)
    public void countsALateAnswerFromItsQuestion() throws Exception {
        startWithOtherDomains();
        mFixture.run(
                () -> {
                    mFixture.advanceMillis(LEASE_MILLIS - 10);
                    answerFirstQuestion();
                    assertTrue(isHeld());
                    mFixture.advanceMillis(20);
                    assertFalse(isHeld());
                });
    }

    @Test(timeOut = 20_000)
    public void holdsNoLeaseLongerWhenAQuestionArrivesTwice() throws Exception {
        startWithOwnDomain();
        mFixture.run(
                () -> {
                    long stampNanos = mFixture.nowNanos();
                    ask(mProcessId, stampNanos);
                    assertTrue(isHeld());
                    mFixture.advanceMillis(400);
                    ask(mProcessId, stampNanos);
                    mFixture.advanceMillis(LEASE_MILLIS - 410);
                    assertTrue(isHeld());
                    ask(mProcessId, stampNanos);
                    mFixture.advanceMillis(20);
                    assertFalse(isHeld());
                });
    }

    @Test(timeOut = 20_000)
    public void keepsTheLeaseOfANewerQuestionWhenAnOlderOneArrivesAfterIt() throws Exception {
        startWithOwnDomain();
        mFixture.run(
                () -> {
                    long olderNanos = mFixture.nowNanos();
                    mFixture.advanceMillis(200);
                    ask(mProcessId, mFixture.nowNanos());
                    ask(mProcessId, olderNanos);
                    mFixture.advanceMillis(LEASE_MILLIS - 10);
                    assertTrue(isHeld());
                });
    }

    @Test(timeOut = 20_000)
    public void holdsNoLeaseByAQuestionToAnEarlierProcess() throws Exception {
        startWithOwnDomain();
        mFixture.run(
                () -> {
                    ask(mProcessId + 1, mFixture.nowNanos());
                    assertFalse(isHeld());
                });
    }

    /** Lets the exchange check its questions, which it does on the time of the machine. */
    private static void awaitChecks() throws InterruptedException {
        Thread.sleep(500);
    }

    // After a loss of all instances, answers took longer than their timeout and were dropped, so
    // that no instance used primaries for seconds.
    @Test(timeOut = 20_000)
    public void holdsTheLeaseOnAnAnswerThatTakesLongerThanItsTimeout() throws Exception {
        startWithOtherDomains();
        mFixture.run(() -> mFixture.advanceMillis(300));
        awaitChecks();
        mFixture.run(
                () -> {
                    answerFirstQuestion();
                    assertTrue(isHeld());
                });
    }

    // After a loss of all instances, each asked three times as often while answers took long.
    @Test(timeOut = 20_000)
    public void asksNoMoreOftenThanUsualWhileAnswersTakeLong() throws Exception {
        try (DatagramSocket receiver =
                new DatagramSocket(new InetSocketAddress(ExchangeFixture.LOCAL, 0))) {
            receiver.setSoTimeout(RECEIVE_MILLIS);
            mStore.mReachable = false;
            String address = ExchangeFixture.LOCAL + ":" + receiver.getLocalPort();
            start(Map.of("i2", new InstanceEntry("i2", "b", address)));
            mFixture.run(
                    () -> {
                        mFixture.advanceMillis(300);
                        answerFirstQuestion();
                        mFixture.advanceMillis(LEASE_MILLIS);
                        mExchange.publish();
                        assertFalse(isHeld());
                    });
            awaitChecks();
            // Ends the exclusion of the instance for its answers that are missing.
            mFixture.run(() -> ask(mProcessId, mFixture.nowNanos()));
            int before = countDatagrams(receiver, 0);
            long startedNanos = System.nanoTime();
            awaitChecks();
            int asked = countDatagrams(receiver, before) - before;
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            assertTrue(asked <= elapsedMillis / CHECK_INTERVAL_MILLIS + 1, "asked " + asked);
        }
    }

    private static int countDatagrams(DatagramSocket receiver, int counted) throws IOException {
        int count = counted;
        try {
            while (true) {
                receiver.receive(new DatagramPacket(new byte[MAX_BYTES], MAX_BYTES));
                count++;
            }
        } catch (SocketTimeoutException e) {
            return count;
        }
    }
}
