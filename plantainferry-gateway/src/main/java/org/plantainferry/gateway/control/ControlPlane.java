package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
    private static final long REGISTER_RETRY_MILLIS = 1_000;
    private static final long REGISTRATION_SETTLING_MILLIS = 500;
    // Without an answer to the second list, the instance becomes ready after this time.
    private static final long SETTLING_TIMEOUT_MILLIS = 2_000;
    // Limits are divided among the listed instances. Without the list, a new process would use the
    // full limits, so it waits this long for the list before it becomes ready.
    private static final long INSTANCES_TIMEOUT_MILLIS = 800;

    private final EventLoop mLoop;
    private final GatewaySettings mSettings;
    private final PlatformConnection mPlatform;
    private final LongSupplier mClock;
    private final ViewListener mListener;
    private final ServerList mServers = new ServerList();
    private final Map<String, InstanceEntry> mInstances = new HashMap<>();
    private RoutingConfiguration mConfiguration = RoutingConfiguration.EMPTY;
    private ServerCatalog mCatalog = ServerCatalog.EMPTY;
    private boolean mCatalogRead;
    private Map<String, String> mOtherInstanceDomains = Map.of();
    private boolean mInstancesRead;
    private boolean mRegistering;
    private boolean mRegistered;
    private boolean mSettled;
    private boolean mInstancesTimedOut;
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
                    mFollowing.addInstances(mPlatform.instances(), new InstancesListener());
                    if (mSettings.evacuationMillis().isPresent()) {
                        mFollowing.addEvacuations(
                                mPlatform.evacuations(), new EvacuationsListener());
                    }
                    startFollowing();
                    mLoop.schedule(
                            this::onInstancesTimeout,
                            INSTANCES_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
                });
    }

    private void startFollowing() {
        if (mSettings.experimental().storeFollowing().equals(ExperimentalSettings.DIRECT)) {
            mFollowing.followStore();
        } else {
            mFollowing.read();
        }
    }

    private void onInstancesTimeout() {
        mInstancesTimedOut = true;
        if (!mInstancesRead) {
            publish();
        }
    }

    private InstanceEntry ownEntry() {
        return new InstanceEntry(
                mSettings.instance(),
                mSettings.failureDomain(),
                mSettings.localAddress() + ":" + mSettings.peerPort());
    }

    /** Registers this instance, unless an equal entry of an earlier process is still present. */
    private void register() {
        if (ownEntry().equals(mInstances.get(mSettings.instance()))) {
            mRegistering = false;
            onInstancesChanged();
            return;
        }
        mRegistering = true;
        mPlatform
                .instances()
                .register(ownEntry())
                .whenComplete((ignored, failure) -> mLoop.execute(() -> onRegistered(failure)));
    }

    private void onRegistered(Throwable failure) {
        if (failure != null) {
            mLoop.schedule(this::register, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (!mRegistered) {
            mRegistered = true;
            // Instances that start together have not seen each other's entries.
            mLoop.schedule(
                    () -> mFollowing.readInstances(this::onSettled),
                    REGISTRATION_SETTLING_MILLIS,
                    TimeUnit.MILLISECONDS);
            mLoop.schedule(this::onSettled, SETTLING_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        mInstances.put(mSettings.instance(), ownEntry());
        register();
    }

    /** Becomes ready, because the instances that started together are known to each other. */
    private void onSettled() {
        if (!mSettled) {
            mSettled = true;
            publish();
        }
    }

    /** Publishes the list of instances once it contains this instance. */
    private void onInstancesChanged() {
        if (!mInstances.containsKey(mSettings.instance())) {
            return;
        }
        mInstancesRead = true;
        GatewayEvent.INSTANCES_CHANGED.log(mInstances.size() - 1);
        publishInstances();
    }

    /** Returns the latest view. */
    public FleetView view() {
        return mView;
    }

    /**
     * Returns whether the configuration and the servers are known.
     *
     * <p>The instances must be known as well, unless reading them took too long.
     */
    public boolean isReady() {
        return mReady;
    }

    private void publish() {
        publish(Optional.empty());
    }

    private void publishInstances() {
        Map<String, InstanceEntry> otherInstances = new HashMap<>(mInstances);
        otherInstances.remove(mSettings.instance());
        Map<String, String> domains = new HashMap<>();
        otherInstances.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
        mOtherInstanceDomains = Map.copyOf(domains);
        publish(Optional.of(otherInstances));
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
                        && isInstanceListReadOrTimedOut();
        mListener.onView(mView, instances);
    }

    /**
     * Returns whether the limits can be divided among the right instances.
     *
     * <p>Instances that start together for the first time each see only themselves at first, and
     * would each give out the whole limit.
     */
    private boolean isInstanceListReadOrTimedOut() {
        return mRegistered ? mSettled : mInstancesRead || mInstancesTimedOut;
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

    /** Applies changes of the instances. */
    private final class InstancesListener implements FeedListener<InstanceEntry> {
        @Override
        public void onSnapshot(
                FeedPage<InstanceEntry> page, OptionalLong coveredNanos, long outageNanos) {
            mInstances.clear();
            boolean isFromStore = coveredNanos.isPresent();
            if (mRegistered && !isFromStore) {
                // Another instance may not have seen the entry yet.
                mInstances.put(mSettings.instance(), ownEntry());
            }
            apply(page);
        }

        @Override
        public void onChanges(FeedPage<InstanceEntry> page, OptionalLong coveredNanos) {
            if (!page.entries().isEmpty()) {
                apply(page);
            }
        }

        private void apply(FeedPage<InstanceEntry> page) {
            for (FeedEntry<InstanceEntry> entry : page.entries()) {
                entry.value()
                        .ifPresentOrElse(
                                value -> mInstances.put(entry.name(), value),
                                () -> mInstances.remove(entry.name()));
            }
            if (!mRegistering) {
                register();
            }
        }
    }

    /** Applies changes of the evacuated failure domains. */
    private final class EvacuationsListener implements FeedListener<String> {
        @Override
        public void onSnapshot(FeedPage<String> page, OptionalLong coveredNanos, long outageNanos) {
            apply(page, new HashSet<>());
        }

        @Override
        public void onChanges(FeedPage<String> page, OptionalLong coveredNanos) {
            apply(page, new HashSet<>(mEvacuatedDomains));
        }

        private void apply(FeedPage<String> page, Set<String> domains) {
            for (FeedEntry<String> entry : page.entries()) {
                if (entry.value().isPresent()) {
                    domains.add(entry.name());
                } else {
                    domains.remove(entry.name());
                }
            }
            boolean changed = !domains.equals(mEvacuatedDomains);
            if (changed) {
                GatewayEvent.DOMAINS_EVACUATED.log(domains);
            }
            boolean isFirst = !mEvacuationsRead;
            mEvacuationsRead = true;
            mEvacuatedDomains = Set.copyOf(domains);
            if (changed || isFirst) {
                publish();
            }
        }
    }
}
