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
    private static final long PROBE_MILLIS = 350;
    // The replacing instance tells the others; only where its message is lost is there a need to
    // ask.
    private static final long NEWS_MILLIS = 80;
    private static final long AGAIN_MILLIS = 250;
    private static final long LONG_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final EventLoop mLoop;
    private final LongSupplier mClock;
    private final ServerProbe mProbe;
    private final FenceBoard mBoard;
    private final Set<String> mAsking = new HashSet<>();
    private final Map<String, Long> mNotBelievedSince = new HashMap<>();
    private Consumer<String> mNotBelieved = service -> {};
    private ServerCatalog mCatalog = ServerCatalog.EMPTY;

    PrimaryVerifier(EventLoop loop, LongSupplier clock, ServerProbe probe, FenceBoard board) {
        mLoop = loop;
        mClock = clock;
        mProbe = probe;
        mBoard = board;
        board.onChange(this::check);
    }

    /** Sets what runs, with the service, when a server has not been believed for long. */
    void onNotBelieved(Consumer<String> notBelieved) {
        mNotBelieved = notBelieved;
    }

    void onCatalog(ServerCatalog catalog) {
        mCatalog = catalog;
        check();
    }

    /** Returns whether the server that says it leads a group has not been believed for long. */
    boolean isLongNotBelieved(String service) {
        Long since = mNotBelievedSince.get(service);
        return since != null && mClock.getAsLong() - since >= LONG_NANOS;
    }

    private Optional<CatalogServer> unverified(String service) {
        return mCatalog.primary(service)
                .filter(primary -> mBoard.needsVerification(service, primary.id()));
    }

    private void check() {
        for (String service : mBoard.fences().keySet()) {
            if (unverified(service).isEmpty()) {
                mNotBelievedSince.remove(service);
            } else if (mAsking.add(service)) {
                mNotBelievedSince.putIfAbsent(service, mClock.getAsLong());
                mLoop.schedule(() -> ask(service), NEWS_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void ask(String service) {
        Optional<CatalogServer> server = unverified(service);
        if (server.isEmpty()) {
            mAsking.remove(service);
            mNotBelievedSince.remove(service);
            return;
        }
        mProbe.send(server.get(), new Statement.Status(), PROBE_MILLIS)
                .thenAccept(answer -> mLoop.execute(() -> onAnswer(service, server.get(), answer)));
    }

    private void onAnswer(String service, CatalogServer server, ProbeResult answer) {
        answer.status()
                .filter(ServerStatus::primary)
                .ifPresent(status -> verify(service, server, status.term()));
        if (isLongNotBelieved(service)) {
            mNotBelieved.accept(service);
        }
        mLoop.schedule(() -> ask(service), AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void verify(String service, CatalogServer server, long term) {
        boolean isBelieved = mBoard.verify(service, server.id(), term);
        GatewayEvent.PRIMARY_VERIFIED.log(service, server.id(), term, isBelieved);
    }
}
