package org.plantainferry.verification.standin.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.plantainferry.network.store.InstanceRecord;

/** Holds the platform's list of instances, in which changes show only after a lag. */
final class InstanceTable {
    private record PendingChange(long visibleAtNanos, String id, Optional<InstanceRecord> record) {}

    private final Map<String, InstanceRecord> mVisible = new TreeMap<>();
    private final Deque<PendingChange> mPendingChanges = new ArrayDeque<>();

    synchronized void addPendingChange(
            String id, Optional<InstanceRecord> record, long visibleAtNanos) {
        mPendingChanges.add(new PendingChange(visibleAtNanos, id, record));
    }

    synchronized List<InstanceRecord> list(long nowNanos) {
        while (!mPendingChanges.isEmpty()
                && mPendingChanges.peek().visibleAtNanos() - nowNanos <= 0) {
            PendingChange change = mPendingChanges.remove();
            change.record()
                    .ifPresentOrElse(
                            record -> mVisible.put(change.id(), record),
                            () -> mVisible.remove(change.id()));
        }
        return new ArrayList<>(mVisible.values());
    }
}
