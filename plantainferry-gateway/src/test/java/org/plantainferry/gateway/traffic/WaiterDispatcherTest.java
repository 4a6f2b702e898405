package org.plantainferry.gateway.traffic;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.scheduling.DispatchState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Guards against statements that wait for ever: one whose deadline passes while another is served,
 * after which nothing waits any more.
 */
public final class WaiterDispatcherTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final String WORKSPACE = "workspace";

    private volatile long mNowNanos;
    private final EventLoop mLoop = new DefaultEventLoop();
    private final List<String> mResults = new CopyOnWriteArrayList<>();
    private final WaiterDispatcher mWaiters =
            new WaiterDispatcher(mLoop, () -> mNowNanos, "s1", new SlowConnections());
    private boolean mHasRoom;

    /** Has one idle connection, and takes longer to look for it than some statements may wait. */
    private final class SlowConnections implements WaiterDispatcher.Connections {
        @Override
        public boolean hasRoom() {
            return mHasRoom;
        }

        @Override
        public DispatchState dispatchState() {
            mNowNanos = 20 * MILLI;
            return new DispatchState(0, 1, Set.of(WORKSPACE), false, false);
        }

        @Override
        public void grant(ConnectionWaiter waiter) {
            waiter.accept(PooledConnectionResult.refused("granted"));
        }

        @Override
        public void open(String workspace) {
            throw new AssertionError("nothing may be opened");
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void offer(String name, long deadlineNanos) {
        ConnectionRequest request =
                TestRequests.read(WORKSPACE, mNowNanos, mNowNanos, deadlineNanos);
        mWaiters.offer(
                new ConnectionWaiter(request, result -> mResults.add(name + " " + result.reason())),
                MILLI);
    }

    @Test
    public void answersAStatementThatExpiresWhileTheLastOneIsServed() throws Exception {
        mLoop.submit(
                        () -> {
                            offer("first", 10 * MILLI);
                            offer("second", 10_000 * MILLI);
                            mHasRoom = true;
                        })
                .get();
        long startedNanos = System.nanoTime();
        while (mResults.size() < 2 && System.nanoTime() - startedNanos < WAIT_NANOS) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        List<String> results = new ArrayList<>(mResults);
        results.sort(null);
        assertEquals(results, List.of("first no connection was free in time", "second granted"));
    }
}
