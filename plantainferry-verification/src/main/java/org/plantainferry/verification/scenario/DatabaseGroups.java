package org.plantainferry.verification.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.plantainferry.api.json.Json;
import org.plantainferry.verification.history.GroupTruth;
import org.plantainferry.verification.standin.FreePorts;
import org.plantainferry.verification.standin.group.GroupSettings;
import org.plantainferry.verification.standin.group.GroupStandIn;
import org.plantainferry.verification.standin.group.LogEntry;

/** Runs the database groups of a deployment in this process. */
final class DatabaseGroups implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final String PRIMARY_ROLE = "primary";

    /** Holds the state that a server reports of itself. */
    record ServerState(String server, String role, long term, long position, long confirmed) {}

    private final HttpClient mHttp = HttpClient.newHttpClient();
    private final Map<String, GroupStandIn> mGroups = new TreeMap<>();

    DatabaseGroups(Deployment deployment) {
        for (String service : deployment.services()) {
            List<GroupSettings.Server> servers =
                    deployment.servers(service).stream()
                            .map(
                                    name ->
                                            new GroupSettings.Server(
                                                    name, FreePorts.allocateAddress(HOST)))
                            .toList();
            mGroups.put(
                    service,
                    new GroupStandIn(
                            new GroupSettings(
                                    service,
                                    FreePorts.allocateAddress(HOST),
                                    servers,
                                    Optional.of(deployment.slots()),
                                    Optional.empty(),
                                    Optional.of(deployment.connectionLimit()),
                                    Optional.of(deployment.openMillis()),
                                    Optional.empty(),
                                    Optional.empty(),
                                    Optional.empty(),
                                    Optional.empty())));
        }
    }

    GroupStandIn group(String service) {
        return mGroups.get(service);
    }

    Collection<GroupStandIn> all() {
        return mGroups.values();
    }

    GroupStandIn groupOf(String server) {
        return mGroups.values().stream()
                .filter(group -> group.serverNames().contains(server))
                .findFirst()
                .orElseThrow();
    }

    String address(String service, String server) {
        InetSocketAddress address = group(service).address(server);
        return HOST + ":" + address.getPort();
    }

    List<ServerState> states(String service) {
        List<ServerState> states = new ArrayList<>();
        for (JsonNode state : readControl(service, "states")) {
            states.add(
                    new ServerState(
                            state.get("server").asText(),
                            state.get("role").asText(),
                            state.get("term").asLong(),
                            state.get("position").asLong(),
                            state.get("confirmedPosition").asLong()));
        }
        return states;
    }

    /** Returns the primary with the highest term; empty while there is none. */
    Optional<String> primary(String service) {
        return states(service).stream()
                .filter(state -> state.role().equals(PRIMARY_ROLE))
                .max(Comparator.comparingLong(ServerState::term))
                .map(ServerState::server);
    }

    GroupTruth finalTruth(String service) {
        GroupStandIn group = group(service);
        List<ServerState> states = states(service);
        List<LogEntry> latestLog = List.of();
        for (String server : group.serverNames()) {
            List<LogEntry> log = group.log(server);
            if (isNewer(log, latestLog)) {
                latestLog = log;
            }
        }
        List<String> mistakes = new ArrayList<>();
        group.replicationFailure().ifPresent(failure -> mistakes.add(service + ": " + failure));
        for (ServerState state : states) {
            List<LogEntry> log = group.log(state.server());
            for (int index = 0; index < Math.min(state.confirmed(), log.size()); index++) {
                if (index >= latestLog.size()
                        || !latestLog.get(index).statement().equals(log.get(index).statement())) {
                    mistakes.add(state.server() + " differs at confirmed position " + (index + 1));
                    break;
                }
            }
        }
        return new GroupTruth(
                service, latestLog, mistakes, group.violationCount(), leavingWork(service));
    }

    private static boolean isNewer(List<LogEntry> log, List<LogEntry> other) {
        if (log.isEmpty() || other.isEmpty()) {
            return other.isEmpty();
        }
        long term = log.get(log.size() - 1).term();
        long otherTerm = other.get(other.size() - 1).term();
        return term != otherTerm ? term > otherTerm : log.size() > other.size();
    }

    private List<GroupTruth.LeavingWork> leavingWork(String service) {
        List<GroupTruth.LeavingWork> leavingWork = new ArrayList<>();
        for (JsonNode work : readControl(service, "counts").get("leaving")) {
            leavingWork.add(
                    new GroupTruth.LeavingWork(
                            work.get("server").asText(),
                            work.get("newWork").asLong(),
                            work.get("lastNewWorkAfterMillis").asLong()));
        }
        return leavingWork;
    }

    private JsonNode readControl(String service, String name) {
        int port = group(service).controlAddress().getPort();
        URI uri = URI.create("http://" + HOST + ":" + port + "/control/" + name);
        try {
            return Json.strict()
                    .readTree(
                            mHttp.send(
                                            HttpRequest.newBuilder(uri).build(),
                                            HttpResponse.BodyHandlers.ofString())
                                    .body());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("invalid answer of " + uri, e);
        } catch (IOException e) {
            throw new IllegalStateException("no answer from " + uri, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    @Override
    public void close() {
        mGroups.values().forEach(GroupStandIn::close);
    }
}
