package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.engine.freshness.ConfirmedVersion;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.PlatformConnection;
import org.plantainferry.gateway.traffic.FleetView;

/**
 * Follows the configuration, the servers and the instances, and publishes them to traffic.
 *
 * <p>All state belongs to the control thread; the view may be read from any thread.
 *
 * @since 0.2
 */
public final class ControlPlane {
    private static final long CONFIGURATION_WATCH_MILLIS = 15_000;
    private static final long SERVERS_WATCH_MILLIS = 12_000;
    private static final long SERVERS_BATCH_MILLIS = 300;
    private static final long INSTANCES_WATCH_MILLIS = 30_000;
    private static final long INSTANCES_BATCH_MILLIS = 2_000;
    private static final long EXPIRY_POLL_MILLIS = 200;
    private static final long REGISTER_RETRY_MILLIS = 1_000;
    // Limits are divided by the list of instances; without it a new process would use them whole.
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
    private boolean mInstancesTimedOut;
    private boolean mExpiryScheduled;
    private final ConfirmedVersion mConfirmedVersion;
    private FeedFollower<RoutingConfiguration> mConfigurationFollower;
    private volatile FleetView mView;
    private volatile boolean mReady;

    /** Receives each new view, on the control thread. */
    public interface ViewListener {
        /**
         * Receives a view.
         *
         * @param instances the instances besides this one, when they were read or have changed
         */
        void onView(FleetView view, Optional<Map<String, InstanceEntry>> instances);
    }

    /**
     * Creates the control plane; {@link #start} begins to read.
     *
     * @param loop the control thread
     * @param clock time that includes suspensions of the machine, in nanoseconds
     */
    public ControlPlane(
            EventLoop loop,
            GatewaySettings settings,
            PlatformConnection platform,
            LongSupplier clock,
            ViewListener listener) {
        mLoop = loop;
        mSettings = settings;
        mPlatform = platform;
        mClock = clock;
        mListener = listener;
        mConfirmedVersion = new ConfirmedVersion(clock.getAsLong() - TimeUnit.HOURS.toNanos(1));
        mView =
                new FleetView(
                        mConfiguration, mCatalog, mConfirmedVersion.confirmedNanos(), Map.of());
    }

    /** Begins to follow the store; may be called from any thread. */
    public void start() {
        mLoop.execute(
                () -> {
                    mConfigurationFollower =
                            new FeedFollower<>(
                                    mLoop,
                                    "configuration",
                                    mPlatform.configuration(),
                                    CONFIGURATION_WATCH_MILLIS,
                                    0,
                                    mClock,
                                    new ConfigurationListener());
                    mConfigurationFollower.start();
                    new FeedFollower<>(
                                    mLoop,
                                    "servers",
                                    mPlatform.servers(),
                                    SERVERS_WATCH_MILLIS,
                                    SERVERS_BATCH_MILLIS,
                                    mClock,
                                    new ServersListener())
                            .start();
                    new FeedFollower<>(
                                    mLoop,
                                    "instances",
                                    mPlatform.instances(),
                                    INSTANCES_WATCH_MILLIS,
                                    INSTANCES_BATCH_MILLIS,
                                    mClock,
                                    new InstancesListener())
                            .start();
                    mLoop.schedule(
                            this::onInstancesTimeout,
                            INSTANCES_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
                });
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

    /** Writes the entry of this instance, unless that of an earlier process still holds. */
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
                .whenComplete((done, failure) -> mLoop.execute(() -> onRegistered(failure)));
    }

    private void onRegistered(Throwable failure) {
        if (failure != null) {
            mLoop.schedule(this::register, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        mInstances.put(mSettings.instance(), ownEntry());
        register();
    }

    /** Hands on the list of instances, once this one stands in it. */
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

    /** Returns whether a configuration, the servers and the instances are known. */
    public boolean isReady() {
        return mReady;
    }

    private void publish() {
        publish(Optional.empty());
    }

    private void publishInstances() {
        Map<String, InstanceEntry> others = new HashMap<>(mInstances);
        others.remove(mSettings.instance());
        Map<String, String> domains = new HashMap<>();
        others.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
        mOtherInstanceDomains = Map.copyOf(domains);
        publish(Optional.of(others));
    }

    private void publish(Optional<Map<String, InstanceEntry>> instances) {
        mView =
                new FleetView(
                        mConfiguration,
                        mCatalog,
                        mConfirmedVersion.confirmedNanos(),
                        mOtherInstanceDomains);
        mReady = mConfiguration.version() > 0 && mCatalogRead && isInstanceListReadOrTimedOut();
        mListener.onView(mView, instances);
    }

    private boolean isInstanceListReadOrTimedOut() {
        return mInstancesRead || mInstancesTimedOut;
    }

    /** Publishes a new time of confirmation, which needs no work of the listener. */
    private void publishConfirmation() {
        FleetView view = mView;
        mView =
                new FleetView(
                        view.configuration(),
                        view.catalog(),
                        mConfirmedVersion.confirmedNanos(),
                        view.otherInstanceDomains());
    }

    /** Asks the store whether the configuration is the newest; used by the control thread only. */
    void confirmFromStore() {
        mConfigurationFollower.readConcurrently();
    }

    /**
     * Takes over the confirmation of another instance; used by the control thread only.
     *
     * @param askedNanos when the question was sent
     * @param version the version in force there
     * @param ageNanos how old its confirmation was
     */
    void onPeerConfirmation(long askedNanos, long version, long ageNanos) {
        if (mConfirmedVersion.onPeerAnswer(askedNanos, version, ageNanos)) {
            GatewayEvent.CONFIGURATION_BEHIND.log(mConfirmedVersion.version(), version);
            mConfigurationFollower.reread();
            return;
        }
        publishConfirmation();
    }

    /**
     * Takes a server for the primary of a group where two claimed the role; used by the control
     * thread only.
     */
    void resolvePrimary(String service, String server) {
        mServers.resolvePrimary(service, server);
        onServersChanged();
    }

    /** Notes that a server was found to lead a group; used by the control thread only. */
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
        if (!mServers.hasPendingRemovals() || mExpiryScheduled) {
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

    /** Follows the one configuration object. */
    private final class ConfigurationListener
            implements FeedFollower.Listener<RoutingConfiguration> {
        @Override
        public void onSnapshot(
                FeedPage<RoutingConfiguration> page, long sentNanos, long awayNanos) {
            onChanges(page, sentNanos);
        }

        @Override
        public void onChanges(FeedPage<RoutingConfiguration> page, long coveredNanos) {
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
            if (readable) {
                mConfirmedVersion.onStoreAnswer(mConfiguration.version(), coveredNanos);
            }
            if (changed) {
                publish();
            } else if (readable) {
                publishConfirmation();
            }
        }
    }

    /** Follows the servers. */
    private final class ServersListener implements FeedFollower.Listener<CatalogServer> {
        @Override
        public void onSnapshot(FeedPage<CatalogServer> page, long sentNanos, long awayNanos) {
            boolean changed = mServers.onSnapshot(page, mClock.getAsLong(), awayNanos);
            boolean first = !mCatalogRead;
            mCatalogRead = true;
            if (changed || first) {
                onServersChanged();
            }
            scheduleExpiry();
        }

        @Override
        public void onChanges(FeedPage<CatalogServer> page, long coveredNanos) {
            if (mServers.onChanges(page, mClock.getAsLong())) {
                onServersChanged();
            }
            scheduleExpiry();
        }
    }

    /** Follows the instances. */
    private final class InstancesListener implements FeedFollower.Listener<InstanceEntry> {
        @Override
        public void onSnapshot(FeedPage<InstanceEntry> page, long sentNanos, long awayNanos) {
            mInstances.clear();
            apply(page);
        }

        @Override
        public void onChanges(FeedPage<InstanceEntry> page, long coveredNanos) {
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
}
