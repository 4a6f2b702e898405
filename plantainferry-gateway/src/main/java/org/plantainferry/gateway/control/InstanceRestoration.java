package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.gateway.feed.StoreFollowing;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.InstanceRegistry;

/**
 * Writes the entries of instances again that a restored store has lost.
 *
 * <p>Only an instance that follows the store does so, one entry after the other, and first for its
 * own failure domain, so that many instances write each entry once. An instance that is suspended
 * or does not reach the store is thereby listed as well. Used by the control thread only.
 */
final class InstanceRestoration {
    private static final long WRITE_INTERVAL_MILLIS = 10;
    private static final long RETRY_MILLIS = 250;
    // By then the instances that follow the store in other failure domains have written theirs.
    private static final long OTHER_DOMAINS_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final EventLoop mLoop;
    private final InstanceEntry mOwnEntry;
    private final InstanceRegistry mRegistry;
    private final StoreFollowing mFollowing;
    private final LongSupplier mClock;
    private final Set<String> mWritten = new HashSet<>();
    private StoreEpoch mEpoch = StoreEpoch.UNKNOWN;
    private long mStartedNanos;
    private boolean mRunning;

    InstanceRestoration(
            EventLoop loop,
            InstanceEntry ownEntry,
            InstanceRegistry registry,
            StoreFollowing following,
            LongSupplier clock) {
        mLoop = loop;
        mOwnEntry = ownEntry;
        mRegistry = registry;
        mFollowing = following;
        mClock = clock;
    }

    /** Starts to write what the store lost before an epoch began, until it has everything again. */
    void start(StoreEpoch epoch) {
        if (!epoch.equals(mEpoch)) {
            mEpoch = epoch;
            mStartedNanos = mClock.getAsLong();
            mWritten.clear();
        }
        if (!mRunning) {
            mRunning = true;
            writeNext();
        }
    }

    private void writeNext() {
        if (mFollowing.lostInstances().isEmpty()) {
            mRunning = false;
            return;
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
        if (!mFollowing.isFollowingStore()) {
            return Optional.empty();
        }
        boolean isForAllDomains = mClock.getAsLong() - mStartedNanos >= OTHER_DOMAINS_DELAY_NANOS;
        return mFollowing.lostInstances().stream()
                .filter(entry -> !entry.name().equals(mOwnEntry.name()))
                .filter(entry -> !mWritten.contains(entry.name()))
                .filter(entry -> isForAllDomains || isInOwnDomain(entry))
                .findFirst();
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
                isWritten ? WRITE_INTERVAL_MILLIS : RETRY_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
