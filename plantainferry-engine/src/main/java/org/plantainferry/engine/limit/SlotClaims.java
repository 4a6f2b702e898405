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
 * Claims, releases and reclaims share slots of the own failure domain for one instance.
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

    // A reclaimed slot rests while deposits of its earlier holder run out, and while that holder,
    // should it be alive after all, sees the changed object.
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

    /** Creates claims without knowledge of the slot object. */
    public SlotClaims(
            long nowNanos, InstanceId self, FailureDomain domain, SlotConfiguration terms) {
        mSelf = Preconditions.notNull(self, "self");
        mDomain = Preconditions.notNull(domain, "domain");
        mSlotConfiguration = Preconditions.notNull(terms, "terms");
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
     * Takes the content of the object, from a read or a watch.
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

    /** Notes that the write succeeded and led to a version. */
    public void writeSucceeded(long nowNanos, long version) {
        mActionInProgress = false;
        updateTable(nowNanos, mPendingWrite, version);
    }

    /** Notes that the write was refused, or that its answer is lost; it is read back. */
    public void writeFailed(long nowNanos) {
        mActionInProgress = false;
        mReadWanted = true;
        mNextActionNanos = nowNanos + RETRY_DELAY_NANOS;
    }

    /** Notes that a read failed. */
    public void readFailed(long nowNanos) {
        mActionInProgress = false;
        mReadWanted = true;
        mNextActionNanos = nowNanos + RETRY_DELAY_NANOS;
    }

    /** Makes the next action a read, for example after a pause. */
    public void requestRead() {
        mReadWanted = true;
    }

    /** Returns the number of slots that may be spent or deposited now. */
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
                    first ->
                            mSlotConfiguration.applyStoredSlotCounts(
                                    nowNanos,
                                    mDomain,
                                    first.shareSlots(),
                                    first.totalShareSlots()));
        }
        Set<Integer> before = mTable.map(each -> each.indicesHeldBy(mSelf)).orElse(Set.of());
        mTable = table;
        mVersion = version;
        Set<Integer> now = mTable.map(each -> each.indicesHeldBy(mSelf)).orElse(Set.of());
        for (int index : now) {
            if (!before.contains(index) && mUnusableUntilNanos.containsKey(index)) {
                mUnusableUntilNanos.put(index, nowNanos + RECLAIM_COOLDOWN_NANOS);
            }
        }
        mUnusableUntilNanos
                .keySet()
                .removeIf(index -> now.contains(index) && isCooldownOver(nowNanos, index));
    }
}
