package org.plantainferry.cli;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.network.store.PlatformStore;
import org.plantainferry.network.store.StoreListing;
import org.plantainferry.network.store.StoreObject;
import org.plantainferry.network.store.WriteCondition;

/** Keeps objects in memory and fails as a test orders. */
final class InMemoryStore implements PlatformStore {
    /** Lists what happens to one write. */
    enum Fault {
        /** The write succeeds or fails by its condition, and is answered. */
        NONE,
        /** The write takes effect, but its answer is lost. */
        ANSWER_LOST,
        /** The write is lost on its way. */
        REQUEST_LOST,
        /** The write is delayed and takes effect, if its condition holds, at the next flush. */
        DELAYED,
        /** The connection is refused. */
        REFUSED
    }

    private final Map<String, StoreObject> mObjects = new HashMap<>();
    private final Deque<Fault> mFaults = new ArrayDeque<>();
    private final List<Runnable> mDelayedWrites = new ArrayList<>();
    private final List<InstanceRecord> mInstances = new ArrayList<>();
    private Supplier<Boolean> mReadFails = () -> false;
    private Runnable mBeforeWrite = () -> {};
    private int mWriteCount;
    private long mRevision;

    synchronized void failNextWrites(Fault... faults) {
        mFaults.addAll(List.of(faults));
    }

    synchronized void failReadsWhen(Supplier<Boolean> readFails) {
        mReadFails = readFails;
    }

    /** Runs an action once, before the next write. */
    synchronized void beforeNextWrite(Runnable action) {
        mBeforeWrite = action;
    }

    /** Lets all delayed writes arrive. */
    synchronized void deliverDelayedWrites() {
        List<Runnable> arriving = List.copyOf(mDelayedWrites);
        mDelayedWrites.clear();
        arriving.forEach(Runnable::run);
    }

    synchronized void addInstance(InstanceRecord instance) {
        mInstances.add(instance);
    }

    /** Returns the number of writes that took effect. */
    synchronized int writeCount() {
        return mWriteCount;
    }

    synchronized Optional<String> value(String path) {
        return Optional.ofNullable(mObjects.get(path)).flatMap(StoreObject::value);
    }

    @Override
    public synchronized CompletableFuture<Optional<StoreObject>> get(String path) {
        if (mReadFails.get()) {
            return failedFuture(Verdict.NOT_RUN);
        }
        return CompletableFuture.completedFuture(Optional.ofNullable(mObjects.get(path)));
    }

    @Override
    public synchronized CompletableFuture<Optional<Long>> put(
            String path, String value, WriteCondition condition) {
        Runnable before = mBeforeWrite;
        mBeforeWrite = () -> {};
        before.run();
        Fault fault = mFaults.isEmpty() ? Fault.NONE : mFaults.poll();
        switch (fault) {
            case NONE:
                return CompletableFuture.completedFuture(write(path, value, condition));
            case ANSWER_LOST:
                write(path, value, condition);
                return failedFuture(Verdict.MAY_HAVE_RUN);
            case DELAYED:
                mDelayedWrites.add(() -> write(path, value, condition));
                return failedFuture(Verdict.MAY_HAVE_RUN);
            case REQUEST_LOST:
                return failedFuture(Verdict.MAY_HAVE_RUN);
            default:
                return failedFuture(Verdict.NOT_RUN);
        }
    }

    @Override
    public synchronized CompletableFuture<List<InstanceRecord>> instances() {
        return mReadFails.get()
                ? failedFuture(Verdict.NOT_RUN)
                : CompletableFuture.completedFuture(List.copyOf(mInstances));
    }

    @Override
    public CompletableFuture<Boolean> delete(String path, long version) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<StoreListing> list(String prefix) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<StoreListing> watch(String prefix, long after, long waitMillis) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}

    private Optional<Long> write(String path, String value, WriteCondition condition) {
        Optional<Long> version = Optional.ofNullable(mObjects.get(path)).map(StoreObject::version);
        if (!version.equals(condition.version())) {
            return Optional.empty();
        }
        mRevision++;
        mWriteCount++;
        mObjects.put(path, new StoreObject(path, mRevision, Optional.of(value)));
        return Optional.of(mRevision);
    }

    private static <T> CompletableFuture<T> failedFuture(Verdict verdict) {
        return CompletableFuture.failedFuture(
                new PlantainferryException(
                        ErrorCode.STORE_UNAVAILABLE, "store: no answer", verdict, 0, null));
    }
}
