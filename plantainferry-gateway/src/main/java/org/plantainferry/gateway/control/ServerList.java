package org.plantainferry.gateway.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.PrimaryResolver;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;

/**
 * Maintains the list of servers that are registered in the store.
 *
 * <p>Entries may expire during an outage of the store. A server whose entry is missing afterwards
 * is kept for a grace period, because a running server registers again. Used by the control thread
 * only.
 */
final class ServerList {
    private static final long MIN_OUTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long GRACE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

    private final Map<String, CatalogServer> mServers = new HashMap<>();
    private final PrimaryResolver mPrimaryResolver = new PrimaryResolver();
    private final Map<String, Long> mRemoveAtNanos = new HashMap<>();
    private long mGraceUntilNanos;
    private boolean mGraceStarted;

    /**
     * Replaces the list with all entries of the store.
     *
     * @param outageNanos how long the store did not answer before; a long outage starts the grace
     *     period
     * @return whether the catalog changed
     */
    boolean onSnapshot(FeedPage<CatalogServer> page, long nowNanos, long outageNanos) {
        if (outageNanos > MIN_OUTAGE_NANOS) {
            mGraceStarted = true;
            mGraceUntilNanos = nowNanos + GRACE_PERIOD_NANOS;
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

    /** Applies changed entries; returns whether the catalog changed. */
    boolean onChanges(FeedPage<CatalogServer> page, long nowNanos) {
        boolean changed = false;
        for (FeedEntry<CatalogServer> entry : page.entries()) {
            changed |= apply(entry, nowNanos);
        }
        return changed;
    }

    private boolean apply(FeedEntry<CatalogServer> entry, long nowNanos) {
        Optional<CatalogServer> server = entry.value();
        if (server.isEmpty()) {
            return remove(entry.name(), nowNanos);
        }
        mRemoveAtNanos.remove(entry.name());
        mPrimaryResolver.onServerEntry(server.get(), entry.revision());
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
        return true;
    }

    /** Removes servers whose grace period has ended; returns whether the catalog changed. */
    boolean expire(long nowNanos) {
        boolean changed = false;
        for (Map.Entry<String, Long> removal : Map.copyOf(mRemoveAtNanos).entrySet()) {
            if (nowNanos - removal.getValue() >= 0) {
                changed |= remove(removal.getKey(), nowNanos);
            }
        }
        return changed;
    }

    /** Returns whether any missing server is kept until the end of its grace period. */
    boolean hasPendingRemovals() {
        return !mRemoveAtNanos.isEmpty();
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
