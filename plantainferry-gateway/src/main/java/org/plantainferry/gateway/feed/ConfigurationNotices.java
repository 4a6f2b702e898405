package org.plantainferry.gateway.feed;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.gateway.peer.generated.FeedName;
import org.plantainferry.gateway.peer.generated.FeedUpdate;
import org.plantainferry.gateway.spi.FeedPage;

/**
 * Passes on that the configuration has changed, without its content.
 *
 * <p>The configuration contains the keys of callers, which instances do not send to each other. An
 * instance that receives a notice reads the configuration from the store. Used by the control
 * thread only.
 */
final class ConfigurationNotices implements FeedListener<RoutingConfiguration>, PassedFeed {
    private final FeedListener<RoutingConfiguration> mListener;
    private final Consumer<FeedUpdate> mSubscribers;
    private final Runnable mReader;
    private final FeedContents<RoutingConfiguration> mContents = new FeedContents<>();

    /**
     * Creates notices of a configuration that was not read yet.
     *
     * @param reader reads the configuration from the store
     */
    ConfigurationNotices(
            FeedListener<RoutingConfiguration> listener,
            Consumer<FeedUpdate> subscribers,
            Runnable reader) {
        mListener = listener;
        mSubscribers = subscribers;
        mReader = reader;
    }

    @Override
    public FeedName name() {
        return FeedName.FEED_NAME_CONFIGURATION;
    }

    @Override
    public long knownRevision() {
        return mContents.knownRevision();
    }

    @Override
    public long lastChangeRevision() {
        return mContents.lastChangeRevision();
    }

    @Override
    public void onSnapshot(
            FeedPage<RoutingConfiguration> page, OptionalLong coveredNanos, long outageNanos) {
        if (mContents.isOutdated(page)) {
            return;
        }
        boolean changed = mContents.replaceAll(page);
        mListener.onSnapshot(page, coveredNanos, outageNanos);
        notifySubscribers(changed);
    }

    @Override
    public void onChanges(FeedPage<RoutingConfiguration> page, OptionalLong coveredNanos) {
        if (mContents.isOutdated(page)) {
            return;
        }
        mContents.apply(page);
        mListener.onChanges(page, coveredNanos);
        notifySubscribers(!page.entries().isEmpty());
    }

    private void notifySubscribers(boolean changed) {
        if (changed) {
            mSubscribers.accept(notice());
        }
    }

    private FeedUpdate notice() {
        return FeedUpdate.newBuilder()
                .setFeed(name())
                .setRevision(mContents.lastChangeRevision())
                .build();
    }

    @Override
    public Optional<FeedUpdate> updateAfter(long revision) {
        return revision >= mContents.lastChangeRevision()
                ? Optional.empty()
                : Optional.of(notice());
    }

    @Override
    public void onUpdate(FeedUpdate update) {
        if (update.getRevision() > mContents.knownRevision()) {
            mReader.run();
        }
    }
}
