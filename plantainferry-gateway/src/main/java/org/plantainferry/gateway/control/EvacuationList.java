package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.gateway.feed.FeedListener;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;

/**
 * Maintains the evacuated failure domains.
 *
 * <p>A domain whose evacuation a restored store has lost stays evacuated until the operator has had
 * time to request it again. Used by the control thread only.
 */
final class EvacuationList implements FeedListener<String> {
    private static final long LOST_KEPT_MILLIS = 5_000;

    private final EventLoop mLoop;
    private final Consumer<Set<String>> mListener;
    private final Set<String> mStored = new HashSet<>();
    private final Set<String> mLost = new HashSet<>();
    private StoreEpoch mEpoch = StoreEpoch.UNKNOWN;

    /**
     * Creates a list that is empty.
     *
     * @param listener receives all evacuated domains after each read and change
     */
    EvacuationList(EventLoop loop, Consumer<Set<String>> listener) {
        mLoop = loop;
        mListener = listener;
    }

    @Override
    public void onSnapshot(FeedPage<String> page, OptionalLong coveredNanos, long outageNanos) {
        if (page.revision().epoch().differsFrom(mEpoch)) {
            mLost.addAll(mStored);
            mLoop.schedule(this::forgetLost, LOST_KEPT_MILLIS, TimeUnit.MILLISECONDS);
        }
        mEpoch = page.revision().epoch();
        mStored.clear();
        onChanges(page, coveredNanos);
    }

    @Override
    public void onChanges(FeedPage<String> page, OptionalLong coveredNanos) {
        for (FeedEntry<String> entry : page.entries()) {
            mLost.remove(entry.name());
            if (entry.value().isPresent()) {
                mStored.add(entry.name());
            } else {
                mStored.remove(entry.name());
            }
        }
        publish();
    }

    private void forgetLost() {
        mLost.clear();
        publish();
    }

    private void publish() {
        Set<String> domains = new HashSet<>(mStored);
        domains.addAll(mLost);
        mListener.accept(domains);
    }
}
