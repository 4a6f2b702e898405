package org.plantainferry.engine.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.plantainferry.api.InstanceId;
import org.testng.annotations.Test;

/** Guards against slots that two instances spend at once, or that nobody spends. */
public class SlotClaimsTest {
    private static final long MILLI = 1_000_000L;
    private static final long STEP = 50 * MILLI;
    private static final int SLOTS = 7;

    private record Use(long at, int slots) {}

    /** One process with its claims and guard. */
    private final class Process {
        final InstanceId mId;
        final SlotClaims mClaims;
        final SlotHolderGuard mGuard;
        final List<Use> mUsed = new ArrayList<>();
        boolean mWasBlocked = true;
        long mPausedUntil;
        long mHeard;

        Process(String name) {
            mId = new InstanceId(name);
            SlotConfiguration terms =
                    new SlotConfiguration(ShareSimulation.configuration(1, 1, 100, 20, SLOTS));
            mClaims = new SlotClaims(mNow, mId, ShareSimulation.domain(0), terms);
            mGuard = new SlotHolderGuard(mNow);
            mHeard = mNow;
        }

        void step() {
            mHeard = mNow;
            mGuard.tick(mNow, true);
            mGuard.recordContact(mNow);
            if (!mGuard.maySpend() && !mWasBlocked) {
                mClaims.requestRead();
            }
            mWasBlocked = !mGuard.maySpend();
            mClaims.nextAction(mNow, view(), committed()).ifPresent(this::perform);
            if (mGuard.maySpend()) {
                mUsed.add(new Use(mNow, mClaims.usableSlots(mNow)));
            }
        }

        /** Returns the slots in use, or deposited during the last 2.02 s; these are alike. */
        private int committed() {
            mUsed.removeIf(use -> mNow - use.at >= 2_020 * MILLI);
            return mUsed.stream().mapToInt(Use::slots).max().orElse(0);
        }

        private DomainView view() {
            List<InstanceId> listed =
                    mProcesses.stream()
                            .filter(each -> mNow - each.mHeard < 3_000 * MILLI)
                            .map(each -> each.mId)
                            .toList();
            Map<InstanceId, Long> heard =
                    mProcesses.stream().collect(Collectors.toMap(p -> p.mId, p -> p.mHeard));
            return new DomainView(
                    new TreeSet<>(listed),
                    true,
                    new TreeSet<>(listed),
                    id -> mNow - heard.getOrDefault(id, 0L));
        }

        private void perform(SlotAction action) {
            if (action instanceof SlotAction.Read) {
                if (mRandom.nextDouble() < mTrouble) {
                    mClaims.readFailed(mNow);
                } else {
                    mClaims.readSucceeded(mNow, mStored, mVersion);
                    mGuard.recordSlotRead(mNow, mNow);
                }
                return;
            }
            SlotAction.Write write = (SlotAction.Write) action;
            boolean reached = mRandom.nextDouble() >= mTrouble;
            boolean accepted = reached && write.expectedVersion() == mVersion;
            if (accepted) {
                mStored = Optional.of(SlotTable.fromJson(write.table().toJson()));
                mVersion++;
            }
            if (accepted && mRandom.nextDouble() >= mTrouble) {
                mClaims.writeSucceeded(mNow, mVersion);
            } else {
                mClaims.writeFailed(mNow);
            }
        }
    }

    private final List<Process> mProcesses = new ArrayList<>();
    private Random mRandom;
    private int mSeed;
    private double mTrouble;
    private Optional<SlotTable> mStored;
    private long mVersion;
    private long mNow;
    private int mNames;

    @Test
    public void givesEachSlotToOneInstanceAtATimeAndSpreadsThem() {
        for (mSeed = 1; mSeed <= 60; mSeed++) {
            mRandom = new Random(mSeed);
            mTrouble = mSeed % 2 == 0 ? 0.3 : 0;
            mProcesses.clear();
            mStored = Optional.empty();
            mVersion = 0;
            mNow = 0;
            for (int i = 0; i < 3; i++) {
                mProcesses.add(new Process("p" + mNames++));
            }
            run(100_000, true);
            mTrouble = 0;
            run(60_000, false);
            int most = 0;
            int all = 0;
            for (Process process : mProcesses) {
                int held = process.mClaims.usableSlots(mNow);
                most = Math.max(most, held);
                all += held;
            }
            assertEquals(all, SLOTS, "seed " + mSeed);
            int even = (SLOTS + mProcesses.size() - 1) / mProcesses.size();
            assertTrue(most <= even, "seed " + mSeed + ": one holds " + most);
        }
    }

    private void run(long millis, boolean trouble) {
        long end = mNow + millis * MILLI;
        while (mNow < end) {
            if (trouble && mRandom.nextInt(200) == 0) {
                disturb();
            }
            for (Process process : List.copyOf(mProcesses)) {
                if (mNow >= process.mPausedUntil) {
                    process.step();
                }
            }
            int committed = mProcesses.stream().mapToInt(Process::committed).sum();
            assertTrue(committed <= SLOTS, "seed " + mSeed + ": " + committed + " slots in use");
            mNow += STEP;
        }
    }

    private void disturb() {
        Process victim = mProcesses.get(mRandom.nextInt(mProcesses.size()));
        if (mRandom.nextInt(3) == 0) {
            victim.mPausedUntil = mNow + mRandom.nextInt(40_000) * MILLI;
        } else if (mRandom.nextBoolean() && mProcesses.size() > 2) {
            mProcesses.remove(victim);
        } else if (mProcesses.size() < 6) {
            mProcesses.add(new Process("p" + mNames++));
        }
    }

    @Test
    public void blocksAHolderAfterAPauseOrSilenceUntilItHasReadTheObjectAgain() {
        SlotHolderGuard guard = new SlotHolderGuard(0);
        assertFalse(guard.maySpend());
        guard.recordSlotRead(MILLI, 0);
        assertTrue(guard.maySpend());
        guard.tick(6_000 * MILLI, true);
        assertFalse(guard.maySpend());
        guard.recordSlotRead(6_001 * MILLI, 5_999 * MILLI);
        assertFalse(guard.maySpend(), "the read began before the pause was noticed");
        guard.recordSlotRead(6_002 * MILLI, 6_001 * MILLI);
        assertTrue(guard.maySpend());
        for (long at = 6_500; at <= 17_000; at += 500) {
            guard.tick(at * MILLI, false);
        }
        assertTrue(guard.maySpend(), "a sole instance needs no contact");
        guard.tick(17_500 * MILLI, true);
        assertFalse(guard.maySpend());
    }
}
