package org.plantainferry.engine.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/**
 * Guards against a server whose room is used up by openings or by one workspace, and against
 * waiting statements that nothing wakes. A model of the connections of a pool follows the
 * decisions.
 */
public final class ServerDispatchTest {
    private static final long MILLI = 1_000_000L;
    private static final long FAR = 1_000_000 * MILLI;
    private static final int MAX_OPENINGS = 2;

    /** Holds the connections of a pool, without any time of its own. */
    private static final class PoolModel {
        private final StatementQueue<String> mQueue = new StatementQueue<>(1_024, 1_024, MILLI);
        private final ServerDispatch<String> mDispatch = new ServerDispatch<>(mQueue);
        private final List<String> mIdle = new ArrayList<>();
        private final List<String> mRunning = new ArrayList<>();
        private final List<String> mInTransaction = new ArrayList<>();
        private final List<String> mOpening = new ArrayList<>();
        private final Map<String, Integer> mServed = new HashMap<>();
        private final int mPlaces;
        private int mLimit;
        private int mOpened;
        private long mNow;

        PoolModel(int places, int limit) {
            mPlaces = places;
            mLimit = limit;
        }

        int inProgress() {
            return mRunning.size() + mOpening.size();
        }

        DispatchState state() {
            int connections = inProgress() + mIdle.size() + mInTransaction.size();
            boolean hasPlace = connections < mPlaces || !mIdle.isEmpty();
            Set<String> idle = new HashSet<>(mIdle);
            return new DispatchState(
                    inProgress(),
                    mLimit,
                    idle,
                    hasPlace && mOpening.size() < MAX_OPENINGS,
                    connections >= mPlaces);
        }

        void arrive(String workspace, int priority, long objectiveNanos) {
            Urgency urgency = new Urgency(workspace, priority, mNow, objectiveNanos, FAR);
            mQueue.offer(new WaitingStatement<>(workspace, urgency, 0, mNow), mNow, 0.5);
            dispatch();
        }

        void dispatch() {
            Optional<DispatchStep<String>> step = mDispatch.next(state(), mNow);
            while (step.isPresent()) {
                assertTrue(inProgress() < mLimit, "a step without room");
                take(step.get());
                step = mDispatch.next(state(), mNow);
            }
        }

        private void take(DispatchStep<String> step) {
            if (step instanceof DispatchStep.Grant<String> grant) {
                assertTrue(mIdle.remove(grant.statement()), "a grant without a connection");
                run(grant.statement());
            } else if (step instanceof DispatchStep.Open<String> open) {
                if (state().openingDisplaces()) {
                    mIdle.remove(0);
                }
                mOpened++;
                mOpening.add(open.workspace());
            }
        }

        private void run(String workspace) {
            mServed.merge(workspace, 1, Integer::sum);
            mRunning.add(workspace);
        }

        void endOpening(boolean succeeds) {
            String workspace = mOpening.remove(0);
            if (succeeds) {
                mDispatch
                        .onOpened(workspace, mNow)
                        .ifPresentOrElse(this::run, () -> mIdle.add(workspace));
            } else {
                mDispatch.onOpeningFailed(workspace);
            }
            dispatch();
        }

        void endStatement(int index, List<String> destination) {
            destination.add(mRunning.remove(index));
            dispatch();
        }

        void checkThatSomethingWillWake() {
            boolean hasConnection =
                    mInTransaction.size() < mPlaces || inProgress() > 0 || !mIdle.isEmpty();
            if (mQueue.size() > 0 && hasConnection) {
                assertTrue(inProgress() > 0, "statements wait and nothing will wake them");
            }
        }
    }

    @Test
    public void aWakeUpIsNeverLost() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            PoolModel pool = new PoolModel(1 + random.nextInt(5), 1 + random.nextInt(5));
            int asked = 0;
            for (int step = 0; step < 400; step++) {
                pool.mNow += random.nextInt(3) * MILLI;
                asked += act(pool, random);
                pool.checkThatSomethingWillWake();
            }
            while (pool.inProgress() + pool.mInTransaction.size() > 0) {
                endOne(pool);
                pool.checkThatSomethingWillWake();
            }
            assertEquals(pool.mQueue.size(), 0, "seed " + seed);
            int served = pool.mServed.values().stream().mapToInt(count -> count).sum();
            assertEquals(served, asked, "seed " + seed);
        }
    }

    /** Lets one random event happen; returns the number of statements that arrived. */
    private static int act(PoolModel pool, Random random) {
        int event = random.nextInt(10);
        if (event < 4) {
            String workspace = "w" + random.nextInt(6);
            pool.arrive(workspace, random.nextInt(3), pool.mNow + random.nextInt(9) * MILLI);
            return 1;
        }
        if (event < 7 && !pool.mRunning.isEmpty()) {
            boolean keeps = random.nextInt(4) == 0;
            pool.endStatement(
                    random.nextInt(pool.mRunning.size()), keeps ? pool.mInTransaction : pool.mIdle);
        } else if (event == 7 && !pool.mOpening.isEmpty()) {
            pool.endOpening(random.nextInt(4) > 0);
        } else if (event == 8 && !pool.mInTransaction.isEmpty()) {
            pool.mIdle.add(pool.mInTransaction.remove(0));
            pool.dispatch();
        } else if (event == 9) {
            // What is in progress above a lower limit goes on.
            pool.mLimit = 1 + random.nextInt(5);
            pool.dispatch();
        }
        return 0;
    }

    private static void endOne(PoolModel pool) {
        if (!pool.mInTransaction.isEmpty()) {
            pool.mIdle.add(pool.mInTransaction.remove(0));
            pool.dispatch();
        } else if (!pool.mOpening.isEmpty()) {
            pool.endOpening(true);
        } else {
            pool.endStatement(0, pool.mIdle);
        }
    }

    @Test
    public void anUrgentStatementGetsAConnectionBesideAFloodThatHoldsThemAll() {
        PoolModel pool = new PoolModel(2, 2);
        for (int index = 0; index < 40; index++) {
            pool.arrive("flood", 2, FAR);
        }
        pool.endOpening(true);
        pool.endOpening(true);
        pool.arrive("urgent", 0, FAR);
        pool.endStatement(0, pool.mIdle);
        assertEquals(pool.mOpening, List.of("urgent"));
    }

    @Test
    public void statementsOfOneUrgencyShareAnOpeningAndNoWorkspaceWaitsForEver() {
        PoolModel pool = new PoolModel(1, 1);
        for (int index = 0; index < 200; index++) {
            pool.arrive("many", 1, FAR);
        }
        for (int index = 0; index < 8; index++) {
            pool.arrive("few", 1, FAR);
        }
        int turns = 60;
        for (int turn = 0; turn < turns; turn++) {
            pool.mNow += 10 * MILLI;
            endOne(pool);
        }
        assertEquals((int) pool.mServed.get("few"), 8);
        assertTrue(pool.mOpened <= turns / 3, pool.mOpened + " openings");
    }
}
