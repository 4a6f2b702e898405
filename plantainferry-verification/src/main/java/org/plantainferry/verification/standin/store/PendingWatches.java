package org.plantainferry.verification.standin.store;

import io.undertow.server.HttpServerExchange;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.plantainferry.verification.standin.HttpExchanges;
import org.plantainferry.verification.standin.store.StoreMessages.Listing;
import org.plantainferry.verification.standin.store.StoreMessages.StoredObject;

/** Holds the watches that wait for a change; none of them occupies a thread. */
final class PendingWatches {
    private record Watch(HttpServerExchange exchange, String prefix) {}

    private final ScheduledExecutorService mTimer;
    private final Set<Watch> mWaiting = new HashSet<>();

    PendingWatches(ScheduledExecutorService timer) {
        mTimer = timer;
    }

    /** Adds a watch; the caller holds the lock of the table, so no change is missed. */
    synchronized void add(
            HttpServerExchange exchange, String prefix, long revision, long waitMillis) {
        Watch watch = new Watch(exchange, prefix);
        mWaiting.add(watch);
        mTimer.schedule(
                () -> {
                    if (remove(watch)) {
                        HttpExchanges.sendJson(exchange, 200, new Listing(revision, List.of()));
                    }
                },
                waitMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Answers the watches that a change concerns. */
    void notifyChanged(StoredObject object) {
        Listing listing = new Listing(object.version(), List.of(object));
        for (Watch watch : removeMatching(w -> object.path().startsWith(w.prefix()))) {
            mTimer.execute(() -> HttpExchanges.sendJson(watch.exchange(), 200, listing));
        }
    }

    /** Refuses all watches because of an outage. */
    void refuseAll() {
        for (Watch watch : removeMatching(w -> true)) {
            mTimer.execute(() -> HttpExchanges.sendJson(watch.exchange(), 503, StoreError.OUTAGE));
        }
    }

    /** Closes the connections of the watches from a source address. */
    void closeConnectionsFrom(InetAddress source) {
        removeMatching(w -> HttpExchanges.sourceAddress(w.exchange()).equals(source))
                .forEach(w -> HttpExchanges.closeConnection(w.exchange()));
    }

    /** Counts the watches whose callers are still connected. */
    synchronized int count() {
        mWaiting.removeIf(w -> !w.exchange().getConnection().isOpen());
        return mWaiting.size();
    }

    private synchronized boolean remove(Watch watch) {
        return mWaiting.remove(watch);
    }

    private synchronized List<Watch> removeMatching(Predicate<Watch> condition) {
        List<Watch> taken = new ArrayList<>(mWaiting.stream().filter(condition).toList());
        taken.forEach(mWaiting::remove);
        return taken;
    }
}
