package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.statement.ServerStatus;
import org.plantainferry.gateway.statement.Statement;
import org.plantainferry.gateway.traffic.ProbeResult;
import org.plantainferry.gateway.traffic.ServerProbe;

/**
 * Verifies the term of a server that claims to be the primary of a group which had a replacement.
 *
 * <p>A former primary that restarts also claims the role, in some cases under a new id. Used by the
 * control thread only.
 */
final class PrimaryVerifier {
    private static final long PROBE_TIMEOUT_MILLIS = 350;
    // Usually the replacing instance announces the new primary within this time, and a probe is
    // only
    // needed if the announcement was lost.
    private static final long ANNOUNCEMENT_WAIT_MILLIS = 80;
    private static final long REPEAT_INTERVAL_MILLIS = 250;
    private static final long UNVERIFIED_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final EventLoop mLoop;
    private final LongSupplier mClock;
    private final ServerProbe mProbe;
    private final FenceRegistry mRegistry;
    private final Set<String> mVerifying = new HashSet<>();
    private final Map<String, Long> mUnverifiedSinceNanos = new HashMap<>();
    private Consumer<String> mUnverifiedListener = service -> {};
    private ServerCatalog mCatalog = ServerCatalog.EMPTY;

    PrimaryVerifier(EventLoop loop, LongSupplier clock, ServerProbe probe, FenceRegistry registry) {
        mLoop = loop;
        mClock = clock;
        mProbe = probe;
        mRegistry = registry;
        registry.addChangeListener(this::check);
    }

    /** Sets the listener that receives a service whose primary was not verified in time. */
    void onLongUnverified(Consumer<String> listener) {
        mUnverifiedListener = listener;
    }

    void onCatalog(ServerCatalog catalog) {
        mCatalog = catalog;
        check();
    }

    /** Returns whether the server that claims to be the primary was not verified in time. */
    boolean isLongUnverified(String service) {
        Long sinceNanos = mUnverifiedSinceNanos.get(service);
        return sinceNanos != null && mClock.getAsLong() - sinceNanos >= UNVERIFIED_LIMIT_NANOS;
    }

    private Optional<CatalogServer> unverifiedPrimary(String service) {
        return mCatalog.primary(service)
                .filter(primary -> mRegistry.needsVerification(service, primary.id()));
    }

    private void check() {
        for (String service : mRegistry.fences().keySet()) {
            if (unverifiedPrimary(service).isEmpty()) {
                mUnverifiedSinceNanos.remove(service);
            } else if (mVerifying.add(service)) {
                mUnverifiedSinceNanos.putIfAbsent(service, mClock.getAsLong());
                mLoop.schedule(
                        () -> probe(service), ANNOUNCEMENT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void probe(String service) {
        Optional<CatalogServer> server = unverifiedPrimary(service);
        if (server.isEmpty()) {
            mVerifying.remove(service);
            mUnverifiedSinceNanos.remove(service);
            return;
        }
        mProbe.send(server.get(), new Statement.Status(), PROBE_TIMEOUT_MILLIS)
                .thenAccept(answer -> mLoop.execute(() -> onAnswer(service, server.get(), answer)));
    }

    private void onAnswer(String service, CatalogServer server, ProbeResult answer) {
        answer.status()
                .filter(ServerStatus::primary)
                .ifPresent(status -> verify(service, server, status.term()));
        if (isLongUnverified(service)) {
            mUnverifiedListener.accept(service);
        }
        mLoop.schedule(() -> probe(service), REPEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void verify(String service, CatalogServer server, long term) {
        boolean isAccepted = mRegistry.verifyPrimary(service, server.id(), term);
        GatewayEvent.PRIMARY_VERIFIED.log(service, server.id(), term, isAccepted);
    }
}
