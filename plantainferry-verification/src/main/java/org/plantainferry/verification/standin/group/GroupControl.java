package org.plantainferry.verification.standin.group;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.Optional;
import org.plantainferry.verification.standin.HttpExchanges;

/**
 * Serves the control endpoints with which tests inject faults and read logs and counts.
 *
 * <p>Changes are requested with {@code POST /control/NAME?PARAMETERS}: {@code stop}, {@code start},
 * {@code freeze} and {@code thaw} with {@code server=}; {@code cut} and {@code heal} with {@code
 * first=&second=}; {@code cut-source} and {@code heal-source} with {@code server=&source=}; {@code
 * lag?server=&millis=}; {@code leaving?server=&on=}; {@code service-time?server=&millis=}; {@code
 * lose-answers?server=&count=}; {@code forbid?text=}. {@code GET /control/log?server=}, {@code
 * /control/counts} and {@code /control/states} read data.
 */
final class GroupControl implements HttpHandler {
    private record Done(boolean done) {}

    private record Failure(String error) {}

    private record Log(
            String server, String role, long term, long confirmed, List<LogEntry> entries) {}

    private record Connections(String server, int open, int peak) {}

    private record Counts(
            Optional<String> failure,
            List<GroupCounters.ServedCount> served,
            List<GroupCounters.LeavingServerWork> leaving,
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
            HttpExchanges.sendJson(exchange, 200, handle(exchange, name));
        } catch (IllegalArgumentException e) {
            HttpExchanges.sendJson(exchange, 400, new Failure(e.getMessage()));
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
                applyChange(exchange, name);
                return new Done(true);
        }
    }

    private void applyChange(HttpServerExchange exchange, String name) {
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
                mGroup.setCut(parameter(exchange, "first"), parameter(exchange, "second"), true);
                break;
            case "heal":
                mGroup.setCut(parameter(exchange, "first"), parameter(exchange, "second"), false);
                break;
            case "cut-source":
                mGroup.cutSource(server(exchange), parameter(exchange, "source"));
                break;
            case "heal-source":
                mGroup.healSource(server(exchange), parameter(exchange, "source"));
                break;
            case "lag":
                mGroup.setLagMillis(server(exchange), millisParameter(exchange));
                break;
            case "leaving":
                mGroup.setLeaving(
                        server(exchange), Boolean.parseBoolean(parameter(exchange, "on")));
                break;
            case "service-time":
                mGroup.setServiceMillis(server(exchange), millisParameter(exchange));
                break;
            case "lose-answers":
                mGroup.loseAnswers(
                        server(exchange), Integer.parseInt(parameter(exchange, "count")));
                break;
            case "forbid":
                mGroup.forbid(parameter(exchange, "text"));
                break;
            default:
                throw new IllegalArgumentException("no such control: " + name);
        }
    }

    private Log log(String server) {
        GroupResponses.State state = mGroup.state(server);
        return new Log(
                server, state.role(), state.term(), state.confirmedPosition(), mGroup.log(server));
    }

    private Counts counts() {
        GroupCounters counters = mGroup.counters();
        return new Counts(
                mGroup.replicationFailure(),
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
        return parameter(exchange, "server");
    }

    private static long millisParameter(HttpServerExchange exchange) {
        return Long.parseLong(parameter(exchange, "millis"));
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        return HttpExchanges.requiredQueryParameter(exchange, name);
    }
}
