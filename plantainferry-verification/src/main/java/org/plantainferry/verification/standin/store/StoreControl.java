package org.plantainferry.verification.standin.store;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.verification.standin.HttpExchanges;

/**
 * Serves the endpoints with which tests cause faults: {@code POST /control/NAME?PARAMETERS}.
 *
 * <p>The names are {@code outage?on=}, {@code latency?millis=}, {@code lose-answers?count=}, {@code
 * cut?source=}, {@code heal?source=}, {@code list-lag?millis=}, {@code put-instance} (the record is
 * the body), {@code delete-instance?id=}, {@code counts} and {@code reset-counts}.
 */
final class StoreControl {
    private static final int MAX_RECORD_BYTES = 64 * 1024;

    private record Done(boolean done) {}

    private final StoreStandIn mStore;

    StoreControl(StoreStandIn store) {
        mStore = store;
    }

    void handle(HttpServerExchange exchange, String name) throws IOException {
        switch (name) {
            case "outage":
                mStore.setOutage(
                        Boolean.parseBoolean(HttpExchanges.requiredQueryParameter(exchange, "on")));
                break;
            case "latency":
                mStore.setLatencyMillis(millisParameter(exchange));
                break;
            case "lose-answers":
                mStore.loseAnswers(
                        Integer.parseInt(HttpExchanges.requiredQueryParameter(exchange, "count")));
                break;
            case "cut":
                mStore.cut(HttpExchanges.requiredQueryParameter(exchange, "source"));
                break;
            case "heal":
                mStore.heal(HttpExchanges.requiredQueryParameter(exchange, "source"));
                break;
            case "list-lag":
                mStore.setListLagMillis(millisParameter(exchange));
                break;
            case "put-instance":
                String body = HttpExchanges.readBody(exchange, MAX_RECORD_BYTES).orElse("");
                mStore.putInstance(
                        Json.read(body, InstanceRecord.class, ErrorCode.REQUEST_MALFORMED));
                break;
            case "delete-instance":
                mStore.deleteInstance(HttpExchanges.requiredQueryParameter(exchange, "id"));
                break;
            case "counts":
                HttpExchanges.sendJson(exchange, 200, mStore.counts());
                return;
            case "reset-counts":
                mStore.counters().reset();
                break;
            default:
                HttpExchanges.sendJson(exchange, 404, new StoreError("no such control"));
                return;
        }
        HttpExchanges.sendJson(exchange, 200, new Done(true));
    }

    private static long millisParameter(HttpServerExchange exchange) {
        return Long.parseLong(HttpExchanges.requiredQueryParameter(exchange, "millis"));
    }
}
