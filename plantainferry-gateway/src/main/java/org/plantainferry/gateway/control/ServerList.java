package org.plantainferry.gateway.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.PrimaryResolver;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;

/**
 * Maintains the list of servers that are registered in the store.
 *
 * <p>Entries may expire during an outage of the store. A server whose entry is missing afterwards
 * is kept for a grace period, because a running server registers again. A store that was restored
 * from a copy shows entries as they were when the copy was made; what is known of a server is kept
 * for the same period, until the server writes its entry again. Used by the control thread only.
 */
final class ServerList {
    private static final long MIN_OUTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long GRACE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

    private final Map<String, CatalogServer> mServers = new HashMap<>();
    private final PrimaryResolver mPrimaryResolver = new PrimaryResolver();
    private final Map<String, Long> mRemoveAtNanos = new HashMap<>();
    // Entries of a restored store that may be older than what is known of their servers.
    private final Map<String, FeedEntry<CatalogServer>> mRestoredEntries = new HashMap<>();
    private StoreEpoch mEpoch = StoreEpoch.UNKNOWN;
    private long mGraceUntilNanos;
    private boolean mGraceStarted;

    /**
     * Replaces the list with all entries of the store.
     *
     * @param outageNanos how long the store did not answer before; a long outage starts the grace
     *     period, and so does a new epoch
     * @return whether the catalog changed
     */
    boolean onSnapshot(FeedPage<CatalogServer> page, long nowNanos, long outageNanos) {
        boolean isRestored = page.revision().epoch().differsFrom(mEpoch);
        mEpoch = page.revision().epoch();
        if (isRestored || outageNanos > MIN_OUTAGE_NANOS) {
            mGraceStarted = true;
            mGraceUntilNanos = nowNanos + GRACE_PERIOD_NANOS;
        }
        if (isRestored) {
            mRestoredEntries.clear();
            page.entries().stream()
                    .filter(this::isPossiblyOlder)
                    .forEach(entry -> mRestoredEntries.put(entry.name(), entry));
        }
        Set<String> present = new HashSet<>();
        boolean changed = false;
        for (FeedEntry<CatalogServer> entry : page.entries()) {
            present.add(entry.name());
            changed |= apply(entry, nowNanos);
        }
        for (String id : Set.copyOf(mServers.keySet())) {
            if (!present.contains(id)) {
                changed |= remove(id, nowNanos);
            }
        }
        return changed;
    }

    /**
     * Returns whether an entry of a restored store may be older than what is known of its server.
     *
     * <p>One that says that the server is draining, or that it was started later, is not.
     */
    private boolean isPossiblyOlder(FeedEntry<CatalogServer> entry) {
        CatalogServer known = mServers.get(entry.name());
        if (known == null || entry.value().isEmpty()) {
            return false;
        }
        CatalogServer restored = entry.value().get();
        boolean isStartedLater = restored.startedAtMillis() > known.startedAtMillis();
        boolean isLeavingNow = restored.draining() && restored.isSameProcess(known);
        return !restored.equals(known) && !isStartedLater && !isLeavingNow;
    }

    /** Applies changed entries; returns whether the catalog changed. */
    boolean onChanges(FeedPage<CatalogServer> page, long nowNanos) {
        mEpoch = page.revision().epoch();
        boolean changed = false;
        for (FeedEntry<CatalogServer> entry : page.entries()) {
            changed |= apply(entry, nowNanos);
        }
        return changed;
    }

    private boolean apply(FeedEntry<CatalogServer> entry, long nowNanos) {
        if (entry.equals(mRestoredEntries.get(entry.name()))) {
            mRemoveAtNanos.remove(entry.name());
            return false;
        }
        mRestoredEntries.remove(entry.name());
        Optional<CatalogServer> server = entry.value();
        if (server.isEmpty()) {
            return remove(entry.name(), nowNanos);
        }
        mRemoveAtNanos.remove(entry.name());
        mPrimaryResolver.onServerEntry(server.get(), new StoreRevision(mEpoch, entry.revision()));
        CatalogServer before = mServers.put(entry.name(), server.get());
        if (before != null && server.get().equals(before)) {
            return false;
        }
        GatewayEvent.SERVER_CHANGED.log(entry.name(), server.get().service(), state(server.get()));
        return true;
    }

    private static String state(CatalogServer server) {
        return (server.primary() ? "primary" : "replica") + (server.draining() ? ",draining" : "");
    }

    private boolean remove(String id, long nowNanos) {
        if (!mServers.containsKey(id)) {
            return false;
        }
        boolean isInGracePeriod = mGraceStarted && nowNanos - mGraceUntilNanos < 0;
        if (isInGracePeriod) {
            mRemoveAtNanos.putIfAbsent(id, mGraceUntilNanos);
            return false;
        }
        GatewayEvent.SERVER_CHANGED.log(id, mServers.get(id).service(), "gone");
        mPrimaryResolver.onServerRemoved(mServers.remove(id));
        mRemoveAtNanos.remove(id);
        mRestoredEntries.remove(id);
        return true;
    }

    /**
     * Removes servers whose grace period has ended, and uses the entries of those that did not
     * write theirs again; returns whether the catalog changed.
     */
    boolean expire(long nowNanos) {
        boolean changed = false;
        if (nowNanos - mGraceUntilNanos >= 0) {
            List<FeedEntry<CatalogServer>> restored = List.copyOf(mRestoredEntries.values());
            mRestoredEntries.clear();
            for (FeedEntry<CatalogServer> entry : restored) {
                changed |= apply(entry, nowNanos);
            }
        }
        for (Map.Entry<String, Long> removal : Map.copyOf(mRemoveAtNanos).entrySet()) {
            if (nowNanos - removal.getValue() >= 0) {
                changed |= remove(removal.getKey(), nowNanos);
            }
        }
        return changed;
    }

    /** Returns whether any server is kept as it is known until the end of its grace period. */
    boolean hasGracePeriod() {
        return !mRemoveAtNanos.isEmpty() || !mRestoredEntries.isEmpty();
    }

    /** Selects the primary of a group in which several servers claim the role. */
    void resolvePrimary(String service, String server) {
        mPrimaryResolver.resolve(service, server);
    }

    /**
     * Records that a server was found to be the primary; returns whether the catalog changed.
     *
     * <p>A server that is not registered is ignored.
     */
    boolean onPrimaryFound(String service, String server) {
        CatalogServer known = mServers.get(server);
        String before = mPrimaryResolver.primaries().get(service);
        if (known == null || server.equals(before)) {
            return false;
        }
        mPrimaryResolver.onPrimaryFound(known);
        return true;
    }

    /** Returns a snapshot of the servers and their roles. */
    ServerCatalog catalog() {
        Map<String, String> primaries = mPrimaryResolver.primaries();
        return new ServerCatalog(mServers.values(), primaries, mPrimaryResolver.contestedRoles());
    }
}
