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

    private record Use(long nanos, int slots) {}

    /** One process with its claims and guard. */
    private final class Process {
        final InstanceId mId;
        final SlotClaims mClaims;
        final SlotHolderGuard mGuard;
        final List<Use> mUses = new ArrayList<>();
        boolean mWasBlocked = true;
        long mPausedUntilNanos;
        long mLastHeardNanos;

        Process(String name) {
            mId = new InstanceId(name);
            SlotConfiguration terms =
                    new SlotConfiguration(ShareSimulation.configuration(1, 1, 100, 20, SLOTS));
            mClaims = new SlotClaims(mNowNanos, mId, ShareSimulation.domain(0), terms);
            mGuard = new SlotHolderGuard(mNowNanos);
            mLastHeardNanos = mNowNanos;
        }

        void step() {
            mLastHeardNanos = mNowNanos;
            mGuard.tick(mNowNanos, true);
            mGuard.recordContact(mNowNanos);
            if (!mGuard.maySpend() && !mWasBlocked) {
                mClaims.requestRead();
            }
            mWasBlocked = !mGuard.maySpend();
            mClaims.nextAction(mNowNanos, view(), committedSlots()).ifPresent(this::perform);
            if (mGuard.maySpend()) {
                mUses.add(new Use(mNowNanos, mClaims.usableSlots(mNowNanos)));
            }
        }

        /** Returns the slots in use, or deposited during the last 2.02 s; these are alike. */
        private int committedSlots() {
            mUses.removeIf(use -> mNowNanos - use.nanos >= 2_020 * MILLI);
            return mUses.stream().mapToInt(Use::slots).max().orElse(0);
        }

        private DomainView view() {
            List<InstanceId> listed =
                    mProcesses.stream()
                            .filter(each -> mNowNanos - each.mLastHeardNanos < 3_000 * MILLI)
                            .map(each -> each.mId)
                            .toList();
            Map<InstanceId, Long> heard =
                    mProcesses.stream()
                            .collect(Collectors.toMap(p -> p.mId, p -> p.mLastHeardNanos));
            return new DomainView(
                    new TreeSet<>(listed),
                    true,
                    new TreeSet<>(listed),
                    id -> mNowNanos - heard.getOrDefault(id, 0L));
        }

        private void perform(SlotAction action) {
            if (action instanceof SlotAction.Read) {
                if (mRandom.nextDouble() < mFailureProbability) {
                    mClaims.readFailed(mNowNanos);
                } else {
                    mClaims.readSucceeded(mNowNanos, mStoredTable, mStoredVersion);
                    mGuard.recordSlotRead(mNowNanos, mNowNanos);
                }
                return;
            }
            SlotAction.Write write = (SlotAction.Write) action;
            boolean reached = mRandom.nextDouble() >= mFailureProbability;
            boolean accepted = reached && write.expectedVersion() == mStoredVersion;
            if (accepted) {
                mStoredTable = Optional.of(SlotTable.fromJson(write.table().toJson()));
                mStoredVersion++;
            }
            if (accepted && mRandom.nextDouble() >= mFailureProbability) {
                mClaims.writeSucceeded(mNowNanos, mStoredVersion);
            } else {
                mClaims.writeFailed(mNowNanos);
            }
        }
    }

    private final List<Process> mProcesses = new ArrayList<>();
    private Random mRandom;
    private int mSeed;
    private double mFailureProbability;
    private Optional<SlotTable> mStoredTable;
    private long mStoredVersion;
    private long mNowNanos;
    private int mNextName;

    @Test
    public void assignsEachSlotToOneInstanceAtATimeAndBalancesThem() {
        for (mSeed = 1; mSeed <= 60; mSeed++) {
            mRandom = new Random(mSeed);
            mFailureProbability = mSeed % 2 == 0 ? 0.3 : 0;
            mProcesses.clear();
            mStoredTable = Optional.empty();
            mStoredVersion = 0;
            mNowNanos = 0;
            for (int i = 0; i < 3; i++) {
                mProcesses.add(new Process("p" + mNextName++));
            }
            run(100_000, true);
            mFailureProbability = 0;
            run(60_000, false);
            int most = 0;
            int all = 0;
            for (Process process : mProcesses) {
                int held = process.mClaims.usableSlots(mNowNanos);
                most = Math.max(most, held);
                all += held;
            }
            assertEquals(all, SLOTS, "seed " + mSeed);
            int even = (SLOTS + mProcesses.size() - 1) / mProcesses.size();
            assertTrue(most <= even, "seed " + mSeed + ": one holds " + most);
        }
    }

    private void run(long millis, boolean trouble) {
        long end = mNowNanos + millis * MILLI;
        while (mNowNanos < end) {
            if (trouble && mRandom.nextInt(200) == 0) {
                injectFault();
            }
            for (Process process : List.copyOf(mProcesses)) {
                if (mNowNanos >= process.mPausedUntilNanos) {
                    process.step();
                }
            }
            int committed = mProcesses.stream().mapToInt(Process::committedSlots).sum();
            assertTrue(committed <= SLOTS, "seed " + mSeed + ": " + committed + " slots in use");
            mNowNanos += STEP;
        }
    }

    private void injectFault() {
        Process victim = mProcesses.get(mRandom.nextInt(mProcesses.size()));
        if (mRandom.nextInt(3) == 0) {
            victim.mPausedUntilNanos = mNowNanos + mRandom.nextInt(40_000) * MILLI;
        } else if (mRandom.nextBoolean() && mProcesses.size() > 2) {
            mProcesses.remove(victim);
        } else if (mProcesses.size() < 6) {
            mProcesses.add(new Process("p" + mNextName++));
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
