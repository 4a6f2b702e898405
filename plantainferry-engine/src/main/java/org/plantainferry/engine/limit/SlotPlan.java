package org.plantainferry.engine.limit;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.plantainferry.api.InstanceId;

/**
 * Determines which slots an instance should claim, release or reclaim.
 *
 * <p>With n slots and m live instances, each should hold between floor(n/m) and ceil(n/m) slots.
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

    /** Returns slots whose holder is missing from the platform's list and has been silent long. */
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

    /** Returns the free slots to claim now. */
    Set<Integer> claims() {
        if (!mView.live().contains(mSelf)) {
            return Set.of();
        }
        List<Integer> freeSlots = mTable.freeIndices(mSlots);
        int held = heldSlots(mSelf);
        int wanted = Math.max(0, mMinimumSlots - held);
        boolean hasSpare = freeSlots.size() > missingSlots();
        if (wanted == 0 && held < mMaximumSlots && hasSpare) {
            wanted = 1;
        }
        return freeSlots.stream().limit(wanted).collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns the slots to release so that other instances can claim them. */
    Set<Integer> releases() {
        List<Integer> ownSlots =
                mTable.indicesHeldBy(mSelf).stream().filter(i -> i < mSlots).toList();
        int surplus;
        if (!mView.live().contains(mSelf)) {
            surplus = ownSlots.size();
        } else {
            surplus = Math.max(0, ownSlots.size() - mMaximumSlots);
            if (surplus == 0 && ownSlots.size() > mMinimumSlots && mustReleaseOne()) {
                surplus = 1;
            }
        }
        return ownSlots.stream()
                .skip(ownSlots.size() - (long) surplus)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Returns whether this instance is one of those that must release a slot for other instances.
     */
    private boolean mustReleaseOne() {
        long surplusOfOthers =
                mView.live().stream()
                        .mapToInt(instance -> Math.max(0, heldSlots(instance) - mMaximumSlots))
                        .sum();
        long needed = missingSlots() - mTable.freeIndices(mSlots).size() - surplusOfOthers;
        List<InstanceId> releasing =
                mView.live().stream()
                        .filter(instance -> heldSlots(instance) > mMinimumSlots)
                        .sorted(Comparator.naturalOrder())
                        .limit(Math.max(0, needed))
                        .toList();
        return releasing.contains(mSelf);
    }

    /** Returns how many slots the live instances lack in total to hold the minimum each. */
    private int missingSlots() {
        return mView.live().stream()
                .mapToInt(instance -> Math.max(0, mMinimumSlots - heldSlots(instance)))
                .sum();
    }

    private int heldSlots(InstanceId instance) {
        return mTable.indicesHeldBy(instance).size();
    }
}
