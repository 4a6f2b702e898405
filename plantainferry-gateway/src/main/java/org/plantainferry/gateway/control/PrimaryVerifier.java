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
 * Asks a server that says it leads a group for its term, where the group had a replacement.
 *
 * <p>A former primary that comes back says so too, at times under a new id. Used by the control
 * thread only.
 */
final class PrimaryVerifier {
    private static final long PROBE_TIMEOUT_MILLIS = 350;
    // The replacing instance tells the others; only where its message is lost is there a need to
    // ask.
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

    PrimaryVerifier(EventLoop loop, LongSupplier clock, ServerProbe probe, FenceRegistry board) {
        mLoop = loop;
        mClock = clock;
        mProbe = probe;
        mRegistry = board;
        board.addChangeListener(this::check);
    }

    /** Sets what runs, with the service, when a server has not been believed for long. */
    void onLongUnverified(Consumer<String> notBelieved) {
        mUnverifiedListener = notBelieved;
    }

    void onCatalog(ServerCatalog catalog) {
        mCatalog = catalog;
        check();
    }

    /** Returns whether the server that says it leads a group has not been believed for long. */
    boolean isLongUnverified(String service) {
        Long since = mUnverifiedSinceNanos.get(service);
        return since != null && mClock.getAsLong() - since >= UNVERIFIED_LIMIT_NANOS;
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
        boolean isBelieved = mRegistry.verifyPrimary(service, server.id(), term);
        GatewayEvent.PRIMARY_VERIFIED.log(service, server.id(), term, isBelieved);
    }
}
