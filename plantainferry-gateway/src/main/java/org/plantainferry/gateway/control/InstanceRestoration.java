package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.membership.RendezvousScore;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.InstanceRegistry;

/**
 * Writes the entries of instances again that a restored store has lost.
 *
 * <p>Only an instance that follows the store does so, one entry after the other, and first for its
 * own failure domain, so that many instances write each entry once. It then reads the list again,
 * and writes what is still missing. An instance that is suspended or does not reach the store is
 * thereby listed as well. Used by the control thread only.
 */
final class InstanceRestoration {
    // Of all instances together; the store also takes the writes of claims.
    private static final long WRITES_PER_SECOND = 350;
    private static final long RETRY_MILLIS = 250;
    // By then the instances that follow the store in other failure domains have written theirs.
    private static final long OTHER_DOMAINS_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

    private final EventLoop mLoop;
    private final InstanceEntry mOwnEntry;
    private final InstanceRegistry mRegistry;
    private final Supplier<List<InstanceEntry>> mLost;
    private final BooleanSupplier mFollowsStore;
    private final Consumer<Runnable> mListReader;
    private final LongSupplier mClock;
    private final Set<String> mWritten = new HashSet<>();
    private StoreEpoch mEpoch = StoreEpoch.UNKNOWN;
    private long mStartedNanos;
    private boolean mForAllDomains;
    private boolean mRunning;

    /**
     * Creates a restoration that is not started.
     *
     * @param lost returns the instances whose entries the store has lost
     * @param followsStore returns whether this instance follows the store
     * @param listReader reads the list again, and runs the given action if the store answered
     */
    InstanceRestoration(
            EventLoop loop,
            InstanceEntry ownEntry,
            InstanceRegistry registry,
            Supplier<List<InstanceEntry>> lost,
            BooleanSupplier followsStore,
            Consumer<Runnable> listReader,
            LongSupplier clock) {
        mLoop = loop;
        mOwnEntry = ownEntry;
        mRegistry = registry;
        mLost = lost;
        mFollowsStore = followsStore;
        mListReader = listReader;
        mClock = clock;
    }

    /** Starts to write what the store lost before an epoch began, until it has everything again. */
    void start(StoreEpoch epoch) {
        if (!epoch.equals(mEpoch)) {
            mEpoch = epoch;
            mStartedNanos = mClock.getAsLong();
            mForAllDomains = false;
            mWritten.clear();
        }
        if (!mRunning) {
            mRunning = true;
            writeNext();
        }
    }

    private void writeNext() {
        if (mLost.get().isEmpty()) {
            mRunning = false;
            return;
        }
        boolean isLate = mClock.getAsLong() - mStartedNanos >= OTHER_DOMAINS_DELAY_NANOS;
        if (isLate && !mForAllDomains && mFollowsStore.getAsBoolean()) {
            StoreEpoch epoch = mEpoch;
            mListReader.accept(() -> mForAllDomains = epoch.equals(mEpoch));
        }
        Optional<InstanceEntry> next = next();
        if (next.isEmpty()) {
            mLoop.schedule(this::writeNext, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        StoreEpoch epoch = mEpoch;
        mRegistry
                .restore(next.get())
                .whenComplete(
                        (ignored, failure) ->
                                mLoop.execute(() -> onWritten(next.get(), epoch, failure)));
    }

    /** Returns an entry to write now; empty if there is none, or if others write them. */
    private Optional<InstanceEntry> next() {
        if (!mFollowsStore.getAsBoolean()) {
            return Optional.empty();
        }
        // Instances of different domains write the entries of a further one in different orders.
        long orderHash = RendezvousScore.hash(mOwnEntry.failureDomain());
        return mLost.get().stream()
                .filter(entry -> !entry.name().equals(mOwnEntry.name()))
                .filter(entry -> !mWritten.contains(entry.name()))
                .filter(entry -> mForAllDomains || isInOwnDomain(entry))
                .min(
                        Comparator.comparingLong(
                                entry ->
                                        RendezvousScore.score(
                                                RendezvousScore.hash(entry.name()), orderHash)));
    }

    /** Returns the pause after a write that keeps all failure domains below the common rate. */
    private long writeIntervalMillis() {
        long domains = mLost.get().stream().map(InstanceEntry::failureDomain).distinct().count();
        return Math.max(1, domains) * TimeUnit.SECONDS.toMillis(1) / WRITES_PER_SECOND;
    }

    private boolean isInOwnDomain(InstanceEntry entry) {
        return entry.failureDomain().equals(mOwnEntry.failureDomain());
    }

    private void onWritten(InstanceEntry entry, StoreEpoch epoch, Throwable failure) {
        boolean isWritten = failure == null && epoch.equals(mEpoch);
        if (isWritten) {
            GatewayEvent.INSTANCE_RESTORED.log(entry.name(), epoch.number());
            mWritten.add(entry.name());
        }
        mLoop.schedule(
                this::writeNext,
                isWritten ? writeIntervalMillis() : RETRY_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
