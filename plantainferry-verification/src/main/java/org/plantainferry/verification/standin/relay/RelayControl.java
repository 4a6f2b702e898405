package org.plantainferry.verification.standin.relay;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.Locale;
import org.plantainferry.verification.standin.HttpExchanges;

/**
 * Serves the control endpoints of a relay: {@code POST /control/NAME?PARAMETERS}.
 *
 * <p>The names are {@code cut?source=&destination=&mode=hang|refuse}, {@code
 * heal?source=&destination=}, {@code delay?destination=&millis=} and {@code connections}. {@code *}
 * stands for all sources or destinations.
 */
final class RelayControl implements HttpHandler {
    private record Done(boolean done, int connections) {}

    private record Failure(String error) {}

    private final TcpRelay mRelay;

    RelayControl(TcpRelay relay) {
        mRelay = relay;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (exchange.isInIoThread()) {
            exchange.dispatch(this);
            return;
        }
        try {
            handle(exchange, exchange.getRequestPath().replaceFirst("^/control/", ""));
            HttpExchanges.sendJson(exchange, 200, new Done(true, mRelay.connectionCount()));
        } catch (IllegalArgumentException e) {
            HttpExchanges.sendJson(exchange, 400, new Failure(e.getMessage()));
        }
    }

    private void handle(HttpServerExchange exchange, String name) {
        switch (name) {
            case "cut":
                String mode = HttpExchanges.queryParameter(exchange, "mode").orElse("hang");
                mRelay.cut(
                        HttpExchanges.requiredQueryParameter(exchange, "source"),
                        HttpExchanges.requiredQueryParameter(exchange, "destination"),
                        CutMode.valueOf(mode.toUpperCase(Locale.ROOT)));
                break;
            case "heal":
                mRelay.heal(
                        HttpExchanges.requiredQueryParameter(exchange, "source"),
                        HttpExchanges.requiredQueryParameter(exchange, "destination"));
                break;
            case "delay":
                mRelay.setDelayMillis(
                        HttpExchanges.requiredQueryParameter(exchange, "destination"),
                        Long.parseLong(HttpExchanges.requiredQueryParameter(exchange, "millis")));
                break;
            case "connections":
                break;
            default:
                throw new IllegalArgumentException("no such control: " + name);
        }
    }
}
