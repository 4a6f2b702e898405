package org.plantainferry.gateway.traffic;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.scheduling.Urgency;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against statements that wait for a server in the wrong order, for longer than their pause
 * or after they are of no use any more.
 */
public final class PlacementWaitingListTest {
    private static final long LONG_MILLIS = 60_000;
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private EventLoop mLoop;
    private PlacementWaitingList mList;
    private final List<String> mRun = new CopyOnWriteArrayList<>();
    private volatile Optional<Long> mStoppedNanos = Optional.empty();

    @BeforeMethod
    public void start() {
        mRun.clear();
        mStoppedNanos = Optional.empty();
        mLoop = new DefaultEventLoop();
        mList = new PlacementWaitingList(mLoop, this::nowNanos);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private long nowNanos() {
        return mStoppedNanos.orElseGet(System::nanoTime);
    }

    private PlacementWaitingList.Entry await(String name, int priority, long millis) {
        long now = System.nanoTime();
        long deadline = now + TimeUnit.MILLISECONDS.toNanos(2 * LONG_MILLIS);
        Urgency urgency = new Urgency("workspace", priority, now, deadline, deadline);
        return mList.await(urgency, millis, () -> mRun.add(name));
    }

    private void awaitRuns(int count) throws InterruptedException {
        long startedNanos = System.nanoTime();
        while (mRun.size() < count && System.nanoTime() - startedNanos < WAIT_NANOS) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @Test
    public void wakesAllOnceInOrderOfUrgencyExceptTheCancelledOnes() throws Exception {
        mLoop.submit(
                        () -> {
                            await("low", 5, LONG_MILLIS);
                            PlacementWaitingList.Entry cancelled = await("no", 0, LONG_MILLIS);
                            await("high", 1, LONG_MILLIS);
                            await("middle", 3, LONG_MILLIS);
                            mList.cancel(cancelled);
                            mList.wake();
                            mList.wake();
                        })
                .get();
        awaitRuns(3);
        mLoop.submit(mList::wake).get();
        mLoop.submit(() -> {}).get();
        assertEquals(mRun, List.of("high", "middle", "low"));
    }

    @Test
    public void runsEachAfterItsOwnPauseAlsoIfAnEarlierOneIsAddedLater() throws Exception {
        mLoop.submit(
                        () -> {
                            await("never", 0, LONG_MILLIS);
                            await("second", 0, 150);
                            await("first", 5, 30);
                        })
                .get();
        awaitRuns(2);
        assertEquals(mRun, List.of("first", "second"));
    }

    @Test
    public void anActionMayWaitAgainOrCancelAnother() throws Exception {
        mLoop.submit(
                        () -> {
                            // On a busy machine, the second one would be due some time later.
                            mStoppedNanos = Optional.of(System.nanoTime());
                            PlacementWaitingList.Entry cancelled = await("no", 5, 20);
                            long now = System.nanoTime();
                            mList.await(
                                    Urgency.ofInstance("workspace", now, now + WAIT_NANOS),
                                    20,
                                    () -> {
                                        mList.cancel(cancelled);
                                        await("again", 0, 20);
                                    });
                            mStoppedNanos = Optional.empty();
                        })
                .get();
        awaitRuns(1);
        TimeUnit.MILLISECONDS.sleep(60);
        assertEquals(mRun, List.of("again"));
    }
}
