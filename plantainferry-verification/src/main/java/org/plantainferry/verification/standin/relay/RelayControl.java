package org.plantainferry.verification.standin.relay;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.Locale;
import org.plantainferry.verification.standin.Exchanges;

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
            Exchanges.answer(exchange, 200, new Done(true, mRelay.connectionCount()));
        } catch (IllegalArgumentException e) {
            Exchanges.answer(exchange, 400, new Failure(e.getMessage()));
        }
    }

    private void handle(HttpServerExchange exchange, String name) {
        switch (name) {
            case "cut":
                String mode = Exchanges.parameter(exchange, "mode").orElse("hang");
                mRelay.cut(
                        Exchanges.required(exchange, "source"),
                        Exchanges.required(exchange, "destination"),
                        CutMode.valueOf(mode.toUpperCase(Locale.ROOT)));
                break;
            case "heal":
                mRelay.heal(
                        Exchanges.required(exchange, "source"),
                        Exchanges.required(exchange, "destination"));
                break;
            case "delay":
                mRelay.setDelayMillis(
                        Exchanges.required(exchange, "destination"),
                        Long.parseLong(Exchanges.required(exchange, "millis")));
                break;
            case "connections":
                break;
            default:
                throw new IllegalArgumentException("no such control: " + name);
        }
    }
}
