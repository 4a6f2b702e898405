package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.engine.freshness.ConfirmedVersion;
import org.plantainferry.gateway.feed.FeedListener;
import org.plantainferry.gateway.feed.StoreFollowing;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.settings.ExperimentalSettings;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.PlatformConnection;
import org.plantainferry.gateway.traffic.FleetView;

/**
 * Watches the configuration, the servers and the instances in the store, and publishes a {@link
 * FleetView} of them to traffic.
 *
 * <p>All state is confined to the control thread; the view may be read from any thread.
 *
 * @since 0.2
 */
public final class ControlPlane {
    private static final long EXPIRY_POLL_MILLIS = 200;

    private final EventLoop mLoop;
    private final GatewaySettings mSettings;
    private final PlatformConnection mPlatform;
    private final LongSupplier mClock;
    private final ViewListener mListener;
    private final ServerList mServers = new ServerList();
    private final InstanceList mInstances;
    private RoutingConfiguration mConfiguration = RoutingConfiguration.EMPTY;
    private ServerCatalog mCatalog = ServerCatalog.EMPTY;
    private boolean mCatalogRead;
    private Map<String, String> mOtherInstanceDomains = Map.of();
    private boolean mExpiryScheduled;
    private final ConfirmedVersion mConfirmedVersion;
    private final StoreFollowing mFollowing;
    private Set<String> mEvacuatedDomains = Set.of();
    private boolean mEvacuationsRead;
    private volatile FleetView mView;
    private volatile boolean mReady;

    /** Listens for new views, on the control thread. */
    public interface ViewListener {
        /**
         * Called with each new view.
         *
         * @param instances the instances except this one, if the list was read or has changed; else
         *     empty
         */
        void onView(FleetView view, Optional<Map<String, InstanceEntry>> instances);
    }

    /**
     * Creates the control plane; {@link #start} begins to read from the store.
     *
     * @param loop the event loop of the control thread
     * @param clock a clock in nanoseconds that advances while the machine is suspended
     * @param following provides the feeds of the store
     */
    public ControlPlane(
            EventLoop loop,
            GatewaySettings settings,
            PlatformConnection platform,
            LongSupplier clock,
            StoreFollowing following,
            ViewListener listener) {
        mLoop = loop;
        mSettings = settings;
        mPlatform = platform;
        mClock = clock;
        mFollowing = following;
        mEvacuationsRead = settings.evacuationMillis().isEmpty();
        mListener = listener;
        mInstances =
                new InstanceList(
                        loop,
                        ownEntry(settings),
                        platform.instances(),
                        following,
                        clock,
                        // The configuration is confirmed more often than this.
                        settings.configurationMillis() / 2,
                        new Random(),
                        new InstanceListListener());
        mConfirmedVersion = new ConfirmedVersion(clock.getAsLong() - TimeUnit.HOURS.toNanos(1));
        mView =
                new FleetView(
                        mConfiguration,
                        mCatalog,
                        mConfirmedVersion.confirmedNanos(),
                        Map.of(),
                        Set.of());
    }

    /** Starts to watch the store; may be called from any thread. */
    public void start() {
        mLoop.execute(
                () -> {
                    mFollowing.addConfiguration(
                            mPlatform.configuration(), new ConfigurationListener());
                    mFollowing.addServers(mPlatform.servers(), new ServersListener());
                    mFollowing.addInstances(mPlatform.instances(), mInstances);
                    if (mSettings.evacuationMillis().isPresent()) {
                        mFollowing.addEvacuations(
                                mPlatform.evacuations(),
                                new EvacuationList(mLoop, this::onEvacuations));
                    }
                    startFollowing();
                    mInstances.start();
                });
    }

    private void startFollowing() {
        if (mSettings.experimental().storeFollowing().equals(ExperimentalSettings.DIRECT)) {
            mFollowing.followStore();
        } else {
            mFollowing.read();
        }
    }

    private static InstanceEntry ownEntry(GatewaySettings settings) {
        return new InstanceEntry(
                settings.instance(),
                settings.failureDomain(),
                settings.localAddress() + ":" + settings.peerPort());
    }

    /** Returns the latest view. */
    public FleetView view() {
        return mView;
    }

    /**
     * Returns whether the configuration and the servers are known.
     *
     * <p>The instances must be known as well, unless reading them took too long. Where majorities
     * of them guard primaries, the list must be complete.
     */
    public boolean isReady() {
        return mReady;
    }

    private void publish() {
        publish(Optional.empty());
    }

    /** Returns whether this instance follows the store itself. */
    boolean isFollowingStore() {
        return mFollowing.isFollowingStore();
    }

    /** Returns whether majorities of instances may be counted from the published list. */
    boolean isInstanceListComplete() {
        return mInstances.isComplete();
    }

    /** Returns whether all running instances are listed in the newest epoch of the store. */
    boolean isInstanceListSettled() {
        return mInstances.isSettled();
    }

    private void publish(Optional<Map<String, InstanceEntry>> instances) {
        mView =
                new FleetView(
                        mConfiguration,
                        mCatalog,
                        mConfirmedVersion.confirmedNanos(),
                        mOtherInstanceDomains,
                        mEvacuatedDomains);
        mReady =
                mConfiguration.version() > 0
                        && mCatalogRead
                        && mEvacuationsRead
                        && mInstances.isReadOrTimedOut()
                        && (mSettings.platformFencesPrimaries() || isListUsableForPrimaries());
        mListener.onView(mView, instances);
    }

    private boolean isListUsableForPrimaries() {
        return mInstances.isComplete() || mInstances.isSettled();
    }

    /** Updates the confirmation time of the view without a call to the listener. */
    private void publishConfirmation() {
        FleetView view = mView;
        mView =
                new FleetView(
                        view.configuration(),
                        view.catalog(),
                        mConfirmedVersion.confirmedNanos(),
                        view.otherInstanceDomains(),
                        view.evacuatedDomains());
    }

    /**
     * Applies the confirmation of another instance; for the control thread only.
     *
     * <p>If the other instance has a newer version, the configuration is read again.
     *
     * @param askedNanos when the question was sent
     * @param version the configuration version in force at the other instance
     * @param ageNanos the age of its confirmation, in nanoseconds
     */
    void onPeerConfirmation(long askedNanos, long version, long ageNanos) {
        if (mConfirmedVersion.onPeerAnswer(askedNanos, version, ageNanos)) {
            GatewayEvent.CONFIGURATION_BEHIND.log(mConfirmedVersion.version(), version);
            mFollowing.rereadConfiguration();
            return;
        }
        publishConfirmation();
    }

    /**
     * Selects the primary of a group in which several servers claim the role; for the control
     * thread only.
     */
    void resolvePrimary(String service, String server) {
        mServers.resolvePrimary(service, server);
        onServersChanged();
    }

    /**
     * Records that a server was found to be the primary of a group; for the control thread only.
     */
    void onPrimaryFound(String service, String server) {
        if (mServers.onPrimaryFound(service, server)) {
            onServersChanged();
        }
    }

    private void onServersChanged() {
        mCatalog = mServers.catalog();
        publish();
    }

    private void scheduleExpiry() {
        if (!mServers.hasGracePeriod() || mExpiryScheduled) {
            return;
        }
        mExpiryScheduled = true;
        mLoop.schedule(this::expireServers, EXPIRY_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void expireServers() {
        mExpiryScheduled = false;
        if (mServers.expire(mClock.getAsLong())) {
            onServersChanged();
        }
        scheduleExpiry();
    }

    /** Applies changes of the single configuration object. */
    private final class ConfigurationListener implements FeedListener<RoutingConfiguration> {
        @Override
        public void onSnapshot(
                FeedPage<RoutingConfiguration> page, OptionalLong coveredNanos, long outageNanos) {
            onChanges(page, coveredNanos);
        }

        @Override
        public void onChanges(FeedPage<RoutingConfiguration> page, OptionalLong coveredNanos) {
            boolean changed = false;
            boolean readable = true;
            for (FeedEntry<RoutingConfiguration> entry : page.entries()) {
                readable &= entry.value().isPresent();
                if (entry.value().isPresent()
                        && entry.value().get().version() > mConfiguration.version()) {
                    GatewayEvent.CONFIGURATION_IN_FORCE.log(
                            entry.value().get().version(), mConfiguration.version());
                    mConfiguration = entry.value().get();
                    changed = true;
                }
            }
            mConfirmedVersion.onVersion(mConfiguration.version());
            if (readable && coveredNanos.isPresent()) {
                mConfirmedVersion.onStoreAnswer(mConfiguration.version(), coveredNanos.getAsLong());
            }
            if (changed) {
                publish();
            } else if (readable) {
                publishConfirmation();
            }
        }
    }

    /** Applies changes of the servers. */
    private final class ServersListener implements FeedListener<CatalogServer> {
        @Override
        public void onSnapshot(
                FeedPage<CatalogServer> page, OptionalLong coveredNanos, long outageNanos) {
            boolean changed = mServers.onSnapshot(page, mClock.getAsLong(), outageNanos);
            boolean isFirst = !mCatalogRead;
            mCatalogRead = true;
            if (changed || isFirst) {
                onServersChanged();
            }
            scheduleExpiry();
        }

        @Override
        public void onChanges(FeedPage<CatalogServer> page, OptionalLong coveredNanos) {
            if (mServers.onChanges(page, mClock.getAsLong())) {
                onServersChanged();
            }
            scheduleExpiry();
        }
    }

    /** Publishes changes of the list of instances. */
    private final class InstanceListListener implements InstanceList.Listener {
        @Override
        public void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
            Map<String, String> domains = new HashMap<>();
            otherInstances.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
            mOtherInstanceDomains = Map.copyOf(domains);
            publish(Optional.of(otherInstances));
        }

        @Override
        public void onReadinessChanged() {
            publish();
        }
    }

    /** Publishes the evacuated failure domains. */
    private void onEvacuations(Set<String> domains) {
        boolean isFirst = !mEvacuationsRead;
        boolean changed = !domains.equals(mEvacuatedDomains);
        mEvacuationsRead = true;
        mEvacuatedDomains = Set.copyOf(domains);
        if (changed) {
            GatewayEvent.DOMAINS_EVACUATED.log(domains);
        }
        if (changed || isFirst) {
            publish();
        }
    }
}
