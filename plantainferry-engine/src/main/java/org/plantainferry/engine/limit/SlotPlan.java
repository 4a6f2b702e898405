package org.plantainferry.engine.limit;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.plantainferry.api.InstanceId;

/**
 * Works out which slots an instance should claim, give up or reclaim.
 *
 * <p>With n slots and m live instances, each is to hold between floor(n/m) and ceil(n/m) slots.
 */
final class SlotPlan {
    private static final long RECLAIM_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final InstanceId mSelf;
    private final SlotTable mTable;
    private final int mSlots;
    private final DomainView mView;
    private final int mMinimumSlots;
    private final int mMaximumSlots;

    SlotPlan(InstanceId self, SlotTable table, int slots, DomainView view) {
        mSelf = self;
        mTable = table;
        mSlots = slots;
        mView = view;
        int instances = Math.max(1, view.live().size());
        mMinimumSlots = slots / instances;
        mMaximumSlots = (slots + instances - 1) / instances;
    }

    /** Returns slots whose holder is gone from the platform's list and long silent. */
    Set<Integer> reclaimable() {
        if (!mView.listKnown() || !mView.live().contains(mSelf)) {
            return Set.of();
        }
        return mTable.held().stream()
                .filter(slot -> slot.index() < mSlots && isGone(slot.holder()))
                .map(SlotTable.Slot::index)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private boolean isGone(InstanceId holder) {
        return !holder.equals(mSelf)
                && !mView.listed().contains(holder)
                && mView.silenceNanos().applyAsLong(holder) >= RECLAIM_SILENCE_NANOS;
    }

    /** Returns free slots to claim now. */
    Set<Integer> claims() {
        if (!mView.live().contains(mSelf)) {
            return Set.of();
        }
        List<Integer> free = mTable.freeIndices(mSlots);
        int held = heldSlots(mSelf);
        int wanted = Math.max(0, mMinimumSlots - held);
        boolean spare = free.size() > missingSlots();
        if (wanted == 0 && held < mMaximumSlots && spare) {
            wanted = 1;
        }
        return free.stream().limit(wanted).collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns slots to give up so that newcomers get theirs. */
    Set<Integer> releases() {
        List<Integer> own = mTable.indicesHeldBy(mSelf).stream().filter(i -> i < mSlots).toList();
        int surplus;
        if (!mView.live().contains(mSelf)) {
            surplus = own.size();
        } else {
            surplus = Math.max(0, own.size() - mMaximumSlots);
            if (surplus == 0 && own.size() > mMinimumSlots && mustReleaseOne()) {
                surplus = 1;
            }
        }
        return own.stream()
                .skip(own.size() - (long) surplus)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns whether this instance is among the first that make up for what others lack. */
    private boolean mustReleaseOne() {
        long surplusOfOthers =
                mView.live().stream()
                        .mapToInt(each -> Math.max(0, heldSlots(each) - mMaximumSlots))
                        .sum();
        long needed = missingSlots() - mTable.freeIndices(mSlots).size() - surplusOfOthers;
        List<InstanceId> yielding =
                mView.live().stream()
                        .filter(each -> heldSlots(each) > mMinimumSlots)
                        .sorted(Comparator.naturalOrder())
                        .limit(Math.max(0, needed))
                        .toList();
        return yielding.contains(mSelf);
    }

    /** Returns how many slots the live instances lack to hold the floor each. */
    private int missingSlots() {
        return mView.live().stream()
                .mapToInt(each -> Math.max(0, mMinimumSlots - heldSlots(each)))
                .sum();
    }

    private int heldSlots(InstanceId instance) {
        return mTable.indicesHeldBy(instance).size();
    }
}
