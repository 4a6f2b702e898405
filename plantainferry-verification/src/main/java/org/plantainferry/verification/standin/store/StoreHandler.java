package org.plantainferry.verification.standin.store;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.Optional;
import org.plantainferry.verification.standin.Exchanges;
import org.plantainferry.verification.standin.store.StoreMessages.Instances;
import org.plantainferry.verification.standin.store.StoreMessages.Listing;
import org.plantainferry.verification.standin.store.StoreMessages.StoredObject;
import org.plantainferry.verification.standin.store.StoreMessages.Version;

/** Serves the protocol of the store (section 13.3 of the design page). */
final class StoreHandler implements HttpHandler {
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final String OBJECTS = "/objects/";

    private final StoreStandIn mStore;
    private final StoreControl mControl;

    StoreHandler(StoreStandIn store, StoreControl control) {
        mStore = store;
        mControl = control;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (exchange.isInIoThread()) {
            exchange.dispatch(this);
            return;
        }
        try {
            route(exchange);
        } catch (IllegalArgumentException e) {
            Exchanges.answer(exchange, 400, new StoreError(e.getMessage()));
        }
    }

    private void route(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestPath();
        if (path.startsWith("/control/")) {
            mControl.handle(exchange, path.substring("/control/".length()));
            return;
        }
        if (mStore.isCut(exchange)) {
            Exchanges.drop(exchange);
            return;
        }
        mStore.counters().count(kind(exchange), System.nanoTime());
        mStore.passHalfOfLatency();
        if (mStore.isOutage()) {
            Exchanges.answer(exchange, 503, StoreError.OUTAGE);
        } else if (path.startsWith(OBJECTS)) {
            handleObject(exchange, path.substring(OBJECTS.length()));
        } else if (path.equals("/list")) {
            Listing listing;
            synchronized (mStore.table()) {
                listing = mStore.table().list(Exchanges.parameter(exchange, "prefix").orElse(""));
            }
            answer(exchange, 200, listing);
        } else if (path.equals("/watch")) {
            watch(exchange);
        } else if (path.equals("/instances")) {
            answer(exchange, 200, new Instances(mStore.instances().list(System.nanoTime())));
        } else {
            Exchanges.answer(exchange, 404, new StoreError("no such path"));
        }
    }

    private void handleObject(HttpServerExchange exchange, String path) throws Exception {
        String method = exchange.getRequestMethod().toString();
        switch (method) {
            case "GET":
                Optional<StoredObject> object;
                synchronized (mStore.table()) {
                    object = mStore.table().get(path);
                }
                if (object.isEmpty()) {
                    answer(exchange, 404, StoreError.ABSENT);
                    return;
                }
                mStore.passHalfOfLatency();
                putVersion(exchange, object.get().version());
                Exchanges.answerText(exchange, 200, object.get().value().orElseThrow());
                break;
            case "PUT":
                Optional<String> body = Exchanges.body(exchange, MAX_VALUE_BYTES);
                if (body.isEmpty()) {
                    exchange.setPersistent(false);
                    Exchanges.answer(exchange, 413, StoreError.TOO_LARGE);
                    return;
                }
                change(exchange, path, body);
                break;
            case "DELETE":
                change(exchange, path, Optional.empty());
                break;
            default:
                Exchanges.answer(exchange, 405, new StoreError("method not allowed"));
        }
    }

    private void change(HttpServerExchange exchange, String path, Optional<String> value)
            throws Exception {
        Optional<StoredObject> changed = Optional.empty();
        boolean isAbsent;
        synchronized (mStore.table()) {
            Optional<StoredObject> present = mStore.table().get(path);
            isAbsent = value.isEmpty() && present.isEmpty();
            if (!isAbsent && isConditionMet(exchange, present)) {
                changed = Optional.of(mStore.table().change(path, value));
                mStore.watches().changed(changed.get());
            }
        }
        if (isAbsent) {
            answer(exchange, 404, StoreError.ABSENT);
        } else if (changed.isEmpty()) {
            answer(exchange, 412, StoreError.CONFLICT);
        } else if (mStore.takeLostAnswer()) {
            Exchanges.drop(exchange);
        } else {
            putVersion(exchange, changed.get().version());
            answer(exchange, 200, new Version(changed.get().version()));
        }
    }

    private static boolean isConditionMet(
            HttpServerExchange exchange, Optional<StoredObject> present) {
        String match = exchange.getRequestHeaders().getFirst(Headers.IF_MATCH);
        String noneMatch = exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH);
        if (noneMatch != null && !noneMatch.equals("*")) {
            throw new IllegalArgumentException("If-None-Match must be *");
        }
        if (noneMatch != null && present.isPresent()) {
            return false;
        }
        return match == null
                || present.map(o -> match.equals("\"" + o.version() + "\"")).orElse(false);
    }

    private void watch(HttpServerExchange exchange) {
        String prefix = Exchanges.parameter(exchange, "prefix").orElse("");
        long after = Long.parseLong(Exchanges.required(exchange, "after"));
        long waitMillis = Long.parseLong(Exchanges.required(exchange, "waitMillis"));
        // The answer may come from another thread only after this call has returned to Undertow.
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> beginWatch(exchange, prefix, after, waitMillis));
    }

    private void beginWatch(
            HttpServerExchange exchange, String prefix, long after, long waitMillis) {
        Listing listing;
        synchronized (mStore.table()) {
            listing = mStore.table().changedAfter(prefix, after);
            if (listing.objects().isEmpty()) {
                mStore.watches().add(exchange, prefix, listing.revision(), waitMillis);
            }
        }
        if (!listing.objects().isEmpty()) {
            Exchanges.answer(exchange, 200, listing);
        } else if (mStore.isOutage()) {
            // The outage may have begun after the check at the start of the call.
            mStore.watches().refuseAll();
        }
    }

    private void answer(HttpServerExchange exchange, int status, Object json)
            throws InterruptedException {
        mStore.passHalfOfLatency();
        Exchanges.answer(exchange, status, json);
    }

    private static void putVersion(HttpServerExchange exchange, long version) {
        exchange.getResponseHeaders().put(Headers.ETAG, "\"" + version + "\"");
    }

    private static CallCounters.Kind kind(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/watch")) {
            return CallCounters.Kind.WATCH;
        }
        return exchange.getRequestMethod().toString().equals("GET")
                ? CallCounters.Kind.READ
                : CallCounters.Kind.WRITE;
    }
}
