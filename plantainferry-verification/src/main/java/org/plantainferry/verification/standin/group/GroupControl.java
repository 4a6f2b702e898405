package org.plantainferry.verification.standin.group;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.Optional;
import org.plantainferry.verification.standin.Exchanges;

/**
 * Serves the endpoints with which tests cause faults and read logs and counts.
 *
 * <p>Changes are {@code POST /control/NAME?PARAMETERS}: {@code stop}, {@code start}, {@code freeze}
 * and {@code thaw} with {@code server=}; {@code cut} and {@code heal} with {@code first=&second=};
 * {@code cut-source} and {@code heal-source} with {@code server=&source=}; {@code
 * lag?server=&millis=}; {@code leaving?server=&on=}; {@code service-time?server=&millis=}; {@code
 * lose-answers?server=&count=}; {@code forbid?text=}. {@code GET /control/log?server=}, {@code
 * /control/counts} and {@code /control/states} read.
 */
final class GroupControl implements HttpHandler {
    private record Done(boolean done) {}

    private record Failure(String error) {}

    private record Log(
            String server, String role, long term, long confirmed, List<LogEntry> entries) {}

    private record Connections(String server, int open, int peak) {}

    private record Counts(
            Optional<String> failure,
            List<GroupCounters.Served> served,
            List<GroupCounters.Leaving> leaving,
            List<GroupCounters.Violation> violations,
            List<Connections> connections) {}

    private final GroupStandIn mGroup;

    GroupControl(GroupStandIn group) {
        mGroup = group;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (exchange.isInIoThread()) {
            exchange.dispatch(this);
            return;
        }
        try {
            String name = exchange.getRequestPath().replaceFirst("^/control/", "");
            Exchanges.answer(exchange, 200, handle(exchange, name));
        } catch (IllegalArgumentException e) {
            Exchanges.answer(exchange, 400, new Failure(e.getMessage()));
        }
    }

    private Object handle(HttpServerExchange exchange, String name) {
        switch (name) {
            case "log":
                return log(server(exchange));
            case "counts":
                return counts();
            case "states":
                return mGroup.states();
            default:
                change(exchange, name);
                return new Done(true);
        }
    }

    private void change(HttpServerExchange exchange, String name) {
        switch (name) {
            case "stop":
                mGroup.stop(server(exchange));
                break;
            case "start":
                mGroup.start(server(exchange));
                break;
            case "freeze":
                mGroup.setFrozen(server(exchange), true);
                break;
            case "thaw":
                mGroup.setFrozen(server(exchange), false);
                break;
            case "cut":
                mGroup.setCut(required(exchange, "first"), required(exchange, "second"), true);
                break;
            case "heal":
                mGroup.setCut(required(exchange, "first"), required(exchange, "second"), false);
                break;
            case "cut-source":
                mGroup.cutSource(server(exchange), required(exchange, "source"));
                break;
            case "heal-source":
                mGroup.healSource(server(exchange), required(exchange, "source"));
                break;
            case "lag":
                mGroup.setLagMillis(server(exchange), millis(exchange));
                break;
            case "leaving":
                mGroup.setLeaving(server(exchange), Boolean.parseBoolean(required(exchange, "on")));
                break;
            case "service-time":
                mGroup.setServiceMillis(server(exchange), millis(exchange));
                break;
            case "lose-answers":
                mGroup.loseAnswers(server(exchange), Integer.parseInt(required(exchange, "count")));
                break;
            case "forbid":
                mGroup.forbid(required(exchange, "text"));
                break;
            default:
                throw new IllegalArgumentException("no such control: " + name);
        }
    }

    private Log log(String server) {
        GroupAnswers.State state = mGroup.state(server);
        return new Log(
                server, state.role(), state.term(), state.confirmedPosition(), mGroup.log(server));
    }

    private Counts counts() {
        GroupCounters counters = mGroup.counters();
        return new Counts(
                mGroup.failure(),
                counters.served(),
                counters.leaving(),
                counters.violations(),
                mGroup.serverNames().stream()
                        .map(
                                name ->
                                        new Connections(
                                                name,
                                                mGroup.connectionCount(name),
                                                mGroup.peakConnections(name)))
                        .toList());
    }

    private static String server(HttpServerExchange exchange) {
        return required(exchange, "server");
    }

    private static long millis(HttpServerExchange exchange) {
        return Long.parseLong(required(exchange, "millis"));
    }

    private static String required(HttpServerExchange exchange, String name) {
        return Exchanges.required(exchange, name);
    }
}
