package org.plantainferry.verification.standin.group;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.Optional;
import org.plantainferry.verification.standin.HttpExchanges;

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
                return log(serverParameter(exchange));
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
                mGroup.stop(serverParameter(exchange));
                break;
            case "start":
                mGroup.start(serverParameter(exchange));
                break;
            case "freeze":
                mGroup.setFrozen(serverParameter(exchange), true);
                break;
            case "thaw":
                mGroup.setFrozen(serverParameter(exchange), false);
                break;
            case "cut":
                mGroup.setCut(
                        requiredQueryParameter(exchange, "first"),
                        requiredQueryParameter(exchange, "second"),
                        true);
                break;
            case "heal":
                mGroup.setCut(
                        requiredQueryParameter(exchange, "first"),
                        requiredQueryParameter(exchange, "second"),
                        false);
                break;
            case "cut-source":
                mGroup.cutSource(
                        serverParameter(exchange), requiredQueryParameter(exchange, "source"));
                break;
            case "heal-source":
                mGroup.healSource(
                        serverParameter(exchange), requiredQueryParameter(exchange, "source"));
                break;
            case "lag":
                mGroup.setLagMillis(serverParameter(exchange), millisParameter(exchange));
                break;
            case "leaving":
                mGroup.setLeaving(
                        serverParameter(exchange),
                        Boolean.parseBoolean(requiredQueryParameter(exchange, "on")));
                break;
            case "service-time":
                mGroup.setServiceMillis(serverParameter(exchange), millisParameter(exchange));
                break;
            case "lose-answers":
                mGroup.loseAnswers(
                        serverParameter(exchange),
                        Integer.parseInt(requiredQueryParameter(exchange, "count")));
                break;
            case "forbid":
                mGroup.forbid(requiredQueryParameter(exchange, "text"));
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

    private static String serverParameter(HttpServerExchange exchange) {
        return requiredQueryParameter(exchange, "server");
    }

    private static long millisParameter(HttpServerExchange exchange) {
        return Long.parseLong(requiredQueryParameter(exchange, "millis"));
    }

    private static String requiredQueryParameter(HttpServerExchange exchange, String name) {
        return HttpExchanges.requiredQueryParameter(exchange, name);
    }
}
