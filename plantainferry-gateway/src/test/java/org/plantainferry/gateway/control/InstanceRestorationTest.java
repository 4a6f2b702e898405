package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.gateway.spi.FeedPage;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.InstanceRegistry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a burst of writes, and against instances that stay unlisted, after a restored
 * store has lost the entries of a whole fleet.
 *
 * <p>The instances that follow the store, one in each failure domain, run on a simulated clock.
 */
public final class InstanceRestorationTest {
    private static final int DOMAINS = 4;
    private static final int WRITES_PER_SECOND = 400;
    private static final int STORE_MILLIS = 4;
    // Changes of instances are seen this long after they were made, as they are gathered.
    private static final int WATCH_MILLIS = 2_000;
    private static final int SETTLING_MILLIS = 3_000;
    private static final StoreEpoch EPOCH = new StoreEpoch(2);

    private EmbeddedChannel mChannel;
    private long mNowMillis;
    private long mVisibleMillis;
    private Map<String, InstanceEntry> mFleet;
    private Map<String, Long> mWrittenMillis;
    private List<Long> mCallMillis;

    /** Writes entries after the time that the store takes for a call. */
    private final class Registry implements InstanceRegistry {
        @Override
        public CompletableFuture<Void> register(InstanceEntry entry) {
            throw new AssertionError("unexpected registration");
        }

        @Override
        public CompletableFuture<Void> restore(InstanceEntry entry) {
            mCallMillis.add(mNowMillis);
            CompletableFuture<Void> answer = new CompletableFuture<>();
            mChannel.eventLoop()
                    .schedule(
                            () -> {
                                mWrittenMillis.putIfAbsent(entry.name(), mNowMillis);
                                answer.complete(null);
                            },
                            STORE_MILLIS,
                            TimeUnit.MILLISECONDS);
            return answer;
        }

        @Override
        public CompletableFuture<FeedPage<InstanceEntry>> readAll() {
            throw new AssertionError("unexpected read");
        }

        @Override
        public CompletableFuture<FeedPage<InstanceEntry>> changesAfter(
                long revision, long waitMillis) {
            throw new AssertionError("unexpected watch");
        }
    }

    @BeforeMethod
    public void create() {
        mChannel = new EmbeddedChannel();
        mChannel.freezeTime();
        mNowMillis = 0;
        mVisibleMillis = -1;
        mFleet = new LinkedHashMap<>();
        mWrittenMillis = new HashMap<>();
        mCallMillis = new ArrayList<>();
    }

    private void createFleet(int instances) {
        for (int number = 0; number < instances; number++) {
            String name = "i" + number;
            mFleet.put(name, new InstanceEntry(name, "d" + number % DOMAINS, "10.0.0.1:1"));
        }
    }

    private List<InstanceEntry> lost() {
        return mFleet.values().stream()
                .filter(
                        entry ->
                                mWrittenMillis.getOrDefault(entry.name(), Long.MAX_VALUE)
                                        > mVisibleMillis)
                .toList();
    }

    /** Reads the list, so that all writes so far are seen. */
    private void readList(Runnable successListener) {
        mChannel.eventLoop()
                .schedule(
                        () -> {
                            mVisibleMillis = mNowMillis;
                            successListener.run();
                        },
                        STORE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void startRestoration(String follower) {
        // The instance registers again by itself.
        mWrittenMillis.put(follower, mNowMillis);
        new InstanceRestoration(
                        mChannel.eventLoop(),
                        mFleet.get(follower),
                        new Registry(),
                        this::lost,
                        () -> true,
                        this::readList,
                        () -> TimeUnit.MILLISECONDS.toNanos(mNowMillis))
                .start(EPOCH);
    }

    private void runFor(long millis) {
        for (long end = mNowMillis + millis; mNowMillis < end; mNowMillis++) {
            mVisibleMillis = Math.max(mVisibleMillis, mNowMillis - WATCH_MILLIS);
            mChannel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            mChannel.runPendingTasks();
            mChannel.runScheduledPendingTasks();
        }
    }

    /** Provides numbers of instances, up to the size that is to be reached in two years. */
    @DataProvider
    public Object[][] fleetSizes() {
        return new Object[][] {{15}, {102}, {520}};
    }

    @Test(dataProvider = "fleetSizes")
    public void listsAllInstancesWithinTheSettlingTimeBelowTheRateOfTheStore(int instances) {
        createFleet(instances);
        for (int domain = 0; domain < DOMAINS; domain++) {
            startRestoration("i" + domain);
        }
        runFor(SETTLING_MILLIS);
        assertEquals(mWrittenMillis.size(), instances);
        assertTrue(mostCallsInASecond() <= WRITES_PER_SECOND, "calls " + mostCallsInASecond());
        assertTrue(
                mCallMillis.size() <= instances,
                mCallMillis.size() + " calls for " + instances + " instances");
    }

    private long mostCallsInASecond() {
        return mCallMillis.stream()
                .mapToLong(
                        start ->
                                mCallMillis.stream()
                                        .filter(at -> at >= start && at < start + 1_000)
                                        .count())
                .max()
                .orElse(0);
    }

    /** Guards against a domain without an instance that reaches the store. */
    @Test
    public void listsInstancesOfOtherDomainsThatNobodyElseWrites() {
        createFleet(102);
        startRestoration("i0");
        runFor(2 * SETTLING_MILLIS);
        assertEquals(mWrittenMillis.size(), 102);
    }
}
