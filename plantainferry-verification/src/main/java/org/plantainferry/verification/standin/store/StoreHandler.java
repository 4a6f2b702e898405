package org.plantainferry.verification.standin.store;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.Optional;
import org.plantainferry.verification.standin.HttpExchanges;
import org.plantainferry.verification.standin.store.StoreMessages.Instances;
import org.plantainferry.verification.standin.store.StoreMessages.Listing;
import org.plantainferry.verification.standin.store.StoreMessages.StoredObject;
import org.plantainferry.verification.standin.store.StoreMessages.Version;

/** Serves the protocol of the store (section 13.3 of the design page). */
final class StoreHandler implements HttpHandler {
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final String OBJECTS_PATH = "/objects/";

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
            HttpExchanges.sendJson(exchange, 400, new StoreError(e.getMessage()));
        }
    }

    private void route(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestPath();
        if (path.startsWith("/control/")) {
            mControl.handle(exchange, path.substring("/control/".length()));
            return;
        }
        if (mStore.isCut(exchange)) {
            HttpExchanges.closeConnection(exchange);
            return;
        }
        mStore.counters().count(callKind(exchange), System.nanoTime());
        mStore.sleepHalfLatency();
        if (mStore.isOutage()) {
            HttpExchanges.sendJson(exchange, 503, StoreError.OUTAGE);
        } else if (path.startsWith(OBJECTS_PATH)) {
            handleObject(exchange, path.substring(OBJECTS_PATH.length()));
        } else if (path.equals("/list")) {
            Listing listing;
            synchronized (mStore.objectTable()) {
                listing =
                        mStore.objectTable()
                                .list(HttpExchanges.queryParameter(exchange, "prefix").orElse(""));
            }
            sendJsonAfterLatency(exchange, 200, listing);
        } else if (path.equals("/watch")) {
            handleWatch(exchange);
        } else if (path.equals("/instances")) {
            sendJsonAfterLatency(
                    exchange, 200, new Instances(mStore.instanceTable().list(System.nanoTime())));
        } else {
            HttpExchanges.sendJson(exchange, 404, new StoreError("no such path"));
        }
    }

    private void handleObject(HttpServerExchange exchange, String path) throws Exception {
        String method = exchange.getRequestMethod().toString();
        switch (method) {
            case "GET":
                Optional<StoredObject> object;
                synchronized (mStore.objectTable()) {
                    object = mStore.objectTable().get(path);
                }
                if (object.isEmpty()) {
                    sendJsonAfterLatency(exchange, 404, StoreError.ABSENT);
                    return;
                }
                mStore.sleepHalfLatency();
                setVersionHeader(exchange, object.get().version());
                HttpExchanges.sendJsonText(exchange, 200, object.get().value().orElseThrow());
                break;
            case "PUT":
                Optional<String> body = HttpExchanges.readBody(exchange, MAX_VALUE_BYTES);
                if (body.isEmpty()) {
                    exchange.setPersistent(false);
                    HttpExchanges.sendJson(exchange, 413, StoreError.TOO_LARGE);
                    return;
                }
                changeObject(exchange, path, body);
                break;
            case "DELETE":
                changeObject(exchange, path, Optional.empty());
                break;
            default:
                HttpExchanges.sendJson(exchange, 405, new StoreError("method not allowed"));
        }
    }

    private void changeObject(HttpServerExchange exchange, String path, Optional<String> value)
            throws Exception {
        Optional<StoredObject> changed = Optional.empty();
        boolean isAbsent;
        synchronized (mStore.objectTable()) {
            Optional<StoredObject> present = mStore.objectTable().get(path);
            isAbsent = value.isEmpty() && present.isEmpty();
            if (!isAbsent && isConditionMet(exchange, present)) {
                changed = Optional.of(mStore.objectTable().update(path, value));
                mStore.watches().notifyChanged(changed.get());
            }
        }
        if (isAbsent) {
            sendJsonAfterLatency(exchange, 404, StoreError.ABSENT);
        } else if (changed.isEmpty()) {
            sendJsonAfterLatency(exchange, 412, StoreError.CONFLICT);
        } else if (mStore.consumeLostAnswer()) {
            HttpExchanges.closeConnection(exchange);
        } else {
            setVersionHeader(exchange, changed.get().version());
            sendJsonAfterLatency(exchange, 200, new Version(changed.get().version()));
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

    private void handleWatch(HttpServerExchange exchange) {
        String prefix = HttpExchanges.queryParameter(exchange, "prefix").orElse("");
        long after = Long.parseLong(HttpExchanges.requiredQueryParameter(exchange, "after"));
        long waitMillis =
                Long.parseLong(HttpExchanges.requiredQueryParameter(exchange, "waitMillis"));
        // The answer may come from another thread only after this call has returned to Undertow.
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> startWatch(exchange, prefix, after, waitMillis));
    }

    private void startWatch(
            HttpServerExchange exchange, String prefix, long after, long waitMillis) {
        Listing listing;
        synchronized (mStore.objectTable()) {
            listing = mStore.objectTable().changedAfter(prefix, after);
            if (listing.objects().isEmpty()) {
                mStore.watches().add(exchange, prefix, listing.revision(), waitMillis);
            }
        }
        if (!listing.objects().isEmpty()) {
            HttpExchanges.sendJson(exchange, 200, listing);
        } else if (mStore.isOutage()) {
            // The outage may have begun after the check at the start of the call.
            mStore.watches().refuseAll();
        }
    }

    private void sendJsonAfterLatency(HttpServerExchange exchange, int status, Object json)
            throws InterruptedException {
        mStore.sleepHalfLatency();
        HttpExchanges.sendJson(exchange, status, json);
    }

    private static void setVersionHeader(HttpServerExchange exchange, long version) {
        exchange.getResponseHeaders().put(Headers.ETAG, "\"" + version + "\"");
    }

    private static CallCounters.Kind callKind(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/watch")) {
            return CallCounters.Kind.WATCH;
        }
        return exchange.getRequestMethod().toString().equals("GET")
                ? CallCounters.Kind.READ
                : CallCounters.Kind.WRITE;
    }
}
