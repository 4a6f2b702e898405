package org.plantainferry.engine.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Claims, releases and reclaims share slots of the local failure domain for one instance.
 *
 * <p>The caller runs {@link #nextAction} on every run of the control thread, carries out the
 * action, and reports its result with {@link #readSucceeded}, {@link #writeSucceeded} or {@link
 * #writeFailed}. It passes {@link #usableSlots} to {@link ShareHolder#tick} afterwards, in the same
 * run.
 *
 * @since 0.1
 */
public final class SlotClaims {
    private static final long READ_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    // A reclaimed slot stays unused until the deposits of its earlier holder have expired and until
    // that holder, if it is still alive, has seen the changed object.
    private static final long RECLAIM_COOLDOWN_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final InstanceId mSelf;
    private final FailureDomain mDomain;
    private final SlotConfiguration mSlotConfiguration;
    private final Set<Integer> mReleasing = new TreeSet<>();
    private final Map<Integer, Long> mUnusableUntilNanos = new HashMap<>();
    private Optional<SlotTable> mTable = Optional.empty();
    private Optional<SlotTable> mPendingWrite = Optional.empty();
    private long mVersion;
    private boolean mHasRead;
    private boolean mActionInProgress;
    private boolean mReadWanted = true;
    private long mNextActionNanos;
    private long mLastReadNanos;

    /** Creates an instance that has not read the slot object yet. */
    public SlotClaims(
            long nowNanos,
            InstanceId self,
            FailureDomain domain,
            SlotConfiguration slotConfiguration) {
        mSelf = Preconditions.notNull(self, "self");
        mDomain = Preconditions.notNull(domain, "domain");
        mSlotConfiguration = Preconditions.notNull(slotConfiguration, "slotConfiguration");
        mNextActionNanos = nowNanos;
    }

    /**
     * Returns the next action, if one is due and none is in progress.
     *
     * @param runningDeposits the result of {@link ShareHolder#runningDeposits}
     */
    public Optional<SlotAction> nextAction(long nowNanos, DomainView view, int runningDeposits) {
        if (mActionInProgress || nowNanos - mNextActionNanos < 0) {
            return Optional.empty();
        }
        if (mReadWanted || nowNanos - mLastReadNanos >= READ_PERIOD_NANOS) {
            mActionInProgress = true;
            return Optional.of(new SlotAction.Read());
        }
        int slots = mSlotConfiguration.configuredSlots(mDomain);
        int total = mSlotConfiguration.configuration().totalShareSlots();
        if (slots == 0) {
            return Optional.empty();
        }
        SlotTable table = mTable.orElse(new SlotTable(slots, total, List.of()));
        SlotTable next = table;
        if (mSlotConfiguration.isSettled(nowNanos)) {
            next = next.resized(slots, total);
        }
        SlotPlan plan = new SlotPlan(mSelf, next, slots, view);
        Set<Integer> reclaimed = plan.reclaimable();
        next = next.assigned(reclaimed, mSelf).assigned(plan.claims(), mSelf);
        mReleasing.retainAll(table.indicesHeldBy(mSelf));
        if (mReleasing.isEmpty()) {
            mReleasing.addAll(plan.releases());
        } else if (runningDeposits <= usableSlots(nowNanos)) {
            next = next.without(mReleasing);
        }
        if (next.equals(table) && mTable.isPresent()) {
            return Optional.empty();
        }
        reclaimed.forEach(
                index -> mUnusableUntilNanos.put(index, nowNanos + RECLAIM_COOLDOWN_NANOS));
        mActionInProgress = true;
        mPendingWrite = Optional.of(next);
        return Optional.of(new SlotAction.Write(next, mVersion));
    }

    /**
     * Applies the content of the object, from a read or a watch.
     *
     * @param table the content; absent when the object does not exist
     * @param version the version of the object; 0 when it does not exist
     */
    public void readSucceeded(long nowNanos, Optional<SlotTable> table, long version) {
        mActionInProgress = false;
        mReadWanted = false;
        mLastReadNanos = nowNanos;
        updateTable(nowNanos, table, version);
    }

    /** Records that the write succeeded and created the given version. */
    public void writeSucceeded(long nowNanos, long version) {
        mActionInProgress = false;
        updateTable(nowNanos, mPendingWrite, version);
    }

    /** Records that the write was rejected or its answer lost; the object is read again. */
    public void writeFailed(long nowNanos) {
        mActionInProgress = false;
        mReadWanted = true;
        mNextActionNanos = nowNanos + RETRY_DELAY_NANOS;
    }

    /** Records that a read failed; it is retried after a delay. */
    public void readFailed(long nowNanos) {
        mActionInProgress = false;
        mReadWanted = true;
        mNextActionNanos = nowNanos + RETRY_DELAY_NANOS;
    }

    /** Requests a read as the next action, for example after a pause. */
    public void requestRead() {
        mReadWanted = true;
    }

    /** Returns the number of slots that may be used or deposited now. */
    public int usableSlots(long nowNanos) {
        return usableIndices(nowNanos).size();
    }

    List<Integer> usableIndices(long nowNanos) {
        int limit = mSlotConfiguration.usableSlots(nowNanos, mDomain);
        return mTable.map(table -> table.indicesHeldBy(mSelf)).orElse(Set.of()).stream()
                .filter(index -> index < limit && !mReleasing.contains(index))
                .filter(index -> isCooldownOver(nowNanos, index))
                .toList();
    }

    private boolean isCooldownOver(long nowNanos, int index) {
        Long until = mUnusableUntilNanos.get(index);
        return until == null || nowNanos - until >= 0;
    }

    private void updateTable(long nowNanos, Optional<SlotTable> table, long version) {
        if (!mHasRead) {
            mHasRead = true;
            table.ifPresent(
                    stored ->
                            mSlotConfiguration.applyStoredSlotCounts(
                                    nowNanos,
                                    mDomain,
                                    stored.shareSlots(),
                                    stored.totalShareSlots()));
        }
        Set<Integer> heldBefore =
                mTable.map(slotTable -> slotTable.indicesHeldBy(mSelf)).orElse(Set.of());
        mTable = table;
        mVersion = version;
        Set<Integer> heldNow =
                mTable.map(slotTable -> slotTable.indicesHeldBy(mSelf)).orElse(Set.of());
        for (int index : heldNow) {
            if (!heldBefore.contains(index) && mUnusableUntilNanos.containsKey(index)) {
                mUnusableUntilNanos.put(index, nowNanos + RECLAIM_COOLDOWN_NANOS);
            }
        }
        mUnusableUntilNanos
                .keySet()
                .removeIf(index -> heldNow.contains(index) && isCooldownOver(nowNanos, index));
    }
}
