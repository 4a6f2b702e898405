package org.plantainferry.gateway.feed;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.PeerProtocol;
import org.plantainferry.gateway.peer.generated.FeedName;
import org.plantainferry.gateway.peer.generated.FeedRevision;
import org.plantainferry.gateway.peer.generated.FeedSubscription;
import org.plantainferry.gateway.peer.generated.FeedUpdate;
import org.plantainferry.gateway.spi.Feed;
import org.plantainferry.gateway.spi.InstanceEntry;

/**
 * Follows the feeds of the store, either by watching the store or through another instance.
 *
 * <p>All feeds are read from the store once at the start. Which source is followed afterwards is
 * decided elsewhere, by calls of {@link #followStore} and {@link #follow}. A new source is followed
 * in addition to the previous one until it has sent all that is missing. Used by the control thread
 * only.
 */
public final class StoreFollowing {
    private static final long CONFIGURATION_WATCH_MILLIS = 15_000;
    private static final long SERVERS_WATCH_MILLIS = 12_000;
    private static final long SERVERS_BATCH_MILLIS = 300;
    private static final long INSTANCES_WATCH_MILLIS = 30_000;
    private static final long INSTANCES_BATCH_MILLIS = 2_000;
    private static final long EVACUATIONS_WATCH_MILLIS = 20_000;

    private final EventLoop mLoop;
    private final String mInstance;
    private final String mLocalAddress;
    private final LongSupplier mClock;
    private final Consumer<String> mLostSourceListener;
    private final List<SharedFeed<?>> mFeeds = new ArrayList<>();
    private final Map<SharedFeed<?>, FeedFollower<?>> mFollowers = new HashMap<>();
    private final FeedPublisher mPublisher = new FeedPublisher(mFeeds);
    private final StoreEpochTracker mEpochs = new StoreEpochTracker();
    private FeedFollower<RoutingConfiguration> mConfigurationFollower;
    private FeedFollower<InstanceEntry> mInstancesFollower;
    private Optional<SharedFeed<InstanceEntry>> mInstances = Optional.empty();
    private Optional<FeedLink> mLink = Optional.empty();
    private Optional<FeedLink> mNextLink = Optional.empty();

    /**
     * Creates an object without feeds.
     *
     * @param clock a clock in nanoseconds that advances while the machine is suspended
     * @param lostSourceListener receives the name of an instance that cannot be followed any more
     */
    public StoreFollowing(
            EventLoop loop,
            String instance,
            String localAddress,
            LongSupplier clock,
            Consumer<String> lostSourceListener) {
        mLoop = loop;
        mInstance = instance;
        mLocalAddress = localAddress;
        mClock = clock;
        mLostSourceListener = lostSourceListener;
        mEpochs.addListener(this::onRestored);
    }

    private void onRestored(StoreEpoch epoch) {
        mFollowers.values().forEach(follower -> follower.onRestored(epoch));
    }

    /** Adds the feed of the configuration. */
    public void addConfiguration(
            Feed<RoutingConfiguration> feed, FeedListener<RoutingConfiguration> listener) {
        SharedFeed<RoutingConfiguration> shared =
                shared(
                        FeedName.FEED_NAME_CONFIGURATION,
                        new ConfigurationCodec(),
                        RestorePolicy.keepHighestVersion(),
                        listener);
        mConfigurationFollower =
                follower("configuration", feed, CONFIGURATION_WATCH_MILLIS, 0, shared);
        add(shared, mConfigurationFollower);
    }

    /** Adds the feed of the servers. */
    public void addServers(Feed<CatalogServer> feed, FeedListener<CatalogServer> listener) {
        SharedFeed<CatalogServer> shared =
                shared(
                        FeedName.FEED_NAME_SERVERS,
                        new ServerCodec(),
                        RestorePolicy.keepNothing(),
                        listener);
        add(shared, follower("servers", feed, SERVERS_WATCH_MILLIS, SERVERS_BATCH_MILLIS, shared));
    }

    /** Adds the feed of the instances. */
    public void addInstances(Feed<InstanceEntry> feed, FeedListener<InstanceEntry> listener) {
        SharedFeed<InstanceEntry> shared =
                shared(
                        FeedName.FEED_NAME_INSTANCES,
                        new InstanceCodec(),
                        RestorePolicy.keepLost(),
                        listener);
        mInstances = Optional.of(shared);
        mInstancesFollower =
                follower("instances", feed, INSTANCES_WATCH_MILLIS, INSTANCES_BATCH_MILLIS, shared);
        add(shared, mInstancesFollower);
    }

    /** Adds the feed of the evacuated failure domains. */
    public void addEvacuations(Feed<String> feed, FeedListener<String> listener) {
        SharedFeed<String> shared =
                shared(
                        FeedName.FEED_NAME_EVACUATIONS,
                        new NameCodec(),
                        RestorePolicy.keepNothing(),
                        listener);
        add(shared, follower("evacuations", feed, EVACUATIONS_WATCH_MILLIS, 0, shared));
    }

    private <T> SharedFeed<T> shared(
            FeedName name, FeedCodec<T> codec, RestorePolicy<T> policy, FeedListener<T> listener) {
        return new SharedFeed<>(name, codec, policy, mClock, listener, mPublisher::publish);
    }

    private <T> FeedFollower<T> follower(
            String name,
            Feed<T> feed,
            long watchMillis,
            long batchMillis,
            FeedListener<T> listener) {
        return new FeedFollower<>(
                mLoop, name, feed, watchMillis, batchMillis, mClock, mEpochs, listener);
    }

    private void add(SharedFeed<?> feed, FeedFollower<?> follower) {
        mFeeds.add(feed);
        mFollowers.put(feed, follower);
    }

    /** Returns the epochs of the store that this instance has seen. */
    public StoreEpochTracker epochs() {
        return mEpochs;
    }

    /** Returns the protocol over which other instances follow this one. */
    public PeerProtocol protocol() {
        return mPublisher;
    }

    /** Reads all feeds from the store; nothing is followed afterwards. */
    public void read() {
        mFollowers.values().forEach(FeedFollower::read);
    }

    /**
     * Reads the configuration once from the store; does nothing while such a read runs.
     *
     * @param successListener runs after the answer was applied
     */
    public void readConfiguration(Runnable successListener) {
        mConfigurationFollower.readConcurrently(successListener);
    }

    /**
     * Reads the configuration again, because another instance has a newer one; does nothing while
     * another instance is followed, which passes it on.
     */
    public void rereadConfiguration() {
        if (mLink.isEmpty()) {
            mConfigurationFollower.reread();
        }
    }

    /**
     * Reads the instances once more from the store.
     *
     * @param successListener runs after the answer was applied
     */
    public void readInstances(Runnable successListener) {
        mInstancesFollower.readConcurrently(successListener);
    }

    /**
     * Returns whether the store, or an instance that has sent all that was missing, is followed.
     */
    public boolean isFollowing() {
        return isFollowingStore() || mLink.isPresent();
    }

    /** Returns the instances whose entries a restored store has lost. */
    public List<InstanceEntry> lostInstances() {
        return mInstances.stream()
                .flatMap(feed -> feed.kept().stream())
                .flatMap(entry -> entry.value().stream())
                .toList();
    }

    /** Returns whether the store itself is followed. */
    public boolean isFollowingStore() {
        return mFollowers.values().stream().allMatch(FeedFollower::isWatching);
    }

    /** Watches the store from now on, and follows no instance. */
    public void followStore() {
        if (isFollowingStore()) {
            return;
        }
        GatewayEvent.STORE_FOLLOWED.log("none");
        mFollowers.forEach(StoreFollowing::watch);
        mNextLink.ifPresent(FeedLink::close);
        mNextLink = Optional.empty();
        mLink.ifPresent(FeedLink::close);
        mLink = Optional.empty();
    }

    private static void watch(SharedFeed<?> feed, FeedFollower<?> follower) {
        follower.watchFrom(feed.knownRevision());
    }

    /** Follows another instance from now on; does nothing if it is followed already. */
    public void follow(InstanceEntry source) {
        Optional<FeedLink> newest = mNextLink.or(() -> mLink);
        if (newest.isPresent() && newest.get().source().isSameInstance(source)) {
            return;
        }
        mNextLink.ifPresent(FeedLink::close);
        open(source);
    }

    /** Replaces a connection that delivers no changes any more. */
    public void reopenLink() {
        mLink.map(FeedLink::source).ifPresent(this::open);
    }

    private void open(InstanceEntry source) {
        FeedLink link = new FeedLink(source, new LinkListener());
        mNextLink = Optional.of(link);
        link.open(mLoop, mLocalAddress, subscription());
    }

    private FeedSubscription subscription() {
        FeedSubscription.Builder subscription =
                FeedSubscription.newBuilder().setInstance(mInstance);
        for (SharedFeed<?> feed : mFeeds) {
            subscription.addRevisions(revision(feed, feed.knownRevision()));
        }
        return subscription.build();
    }

    private static FeedRevision revision(SharedFeed<?> feed, StoreRevision revision) {
        return FeedRevision.newBuilder()
                .setFeed(feed.name())
                .setRevision(revision.number())
                .setEpoch(revision.epoch().number())
                .build();
    }

    static StoreRevision decode(FeedRevision revision) {
        return new StoreRevision(StoreEpoch.of(revision.getEpoch()), revision.getRevision());
    }

    /** Returns the newest known change of each feed. */
    public List<FeedRevision> lastChanges() {
        return mFeeds.stream().map(feed -> revision(feed, feed.lastChangeRevision())).toList();
    }

    /** Returns whether this instance lacks a change that another instance knows. */
    public boolean isBehind(List<FeedRevision> lastChanges) {
        return lastChanges.stream().anyMatch(this::isMissing);
    }

    private boolean isMissing(FeedRevision change) {
        return feed(change.getFeed())
                .filter(feed -> isBefore(feed.knownRevision(), decode(change)))
                .isPresent();
    }

    private static boolean isBefore(StoreRevision known, StoreRevision change) {
        return known.compareTo(change.orIn(known.epoch())) < 0;
    }

    /**
     * Returns whether another instance reports epochs where this one knows them.
     *
     * <p>One that does not is of a build that goes on with what it knew before the store was
     * restored from a copy, so it must not be followed.
     */
    public boolean reportsEpochs(List<FeedRevision> lastChanges) {
        return !mEpochs.newest().isKnown()
                || lastChanges.stream().noneMatch(StoreFollowing::isWithoutEpoch);
    }

    private static boolean isWithoutEpoch(FeedRevision change) {
        StoreRevision revision = decode(change);
        return revision.number() > 0 && !revision.epoch().isKnown();
    }

    private Optional<SharedFeed<?>> feed(FeedName name) {
        return mFeeds.stream().filter(feed -> feed.name() == name).findFirst();
    }

    private final class LinkListener implements FeedLink.Listener {
        @Override
        public void onAccepted(FeedLink link) {
            if (mNextLink.filter(next -> next == link).isEmpty()) {
                return;
            }
            GatewayEvent.STORE_FOLLOWED.log(link.source().name());
            mLink.ifPresent(FeedLink::close);
            mLink = mNextLink;
            mNextLink = Optional.empty();
            mFollowers.values().forEach(FeedFollower::stop);
        }

        @Override
        public void onUpdate(FeedLink link, FeedUpdate update) {
            Optional<SharedFeed<?>> feed = feed(update.getFeed());
            if (feed.isEmpty()) {
                return;
            }
            try {
                feed.get().onUpdate(update);
            } catch (InvalidProtocolBufferException e) {
                // The update stays unapplied, so the lag is noticed and another source is found.
                GatewayEvent.FEED_LINK_FAILED.log(link.source().name(), e.getMessage());
            }
        }

        @Override
        public void onEnded(FeedLink link) {
            if (mNextLink.filter(next -> next == link).isPresent()) {
                mNextLink = Optional.empty();
            } else if (mLink.filter(current -> current == link).isPresent()) {
                mLink = Optional.empty();
            }
            mLostSourceListener.accept(link.source().name());
        }
    }
}
