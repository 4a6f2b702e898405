package org.plantainferry.verification.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.ReleaseNote;
import org.plantainferry.api.configuration.WithdrawnParts;
import org.plantainferry.api.configuration.Workspace;
import org.plantainferry.verification.history.HistoryEvent;
import org.plantainferry.verification.standin.group.GroupStandIn;
import org.plantainferry.verification.standin.relay.CutMode;

/** Carries out the actions of a scenario; heals everything at the end. */
final class ActionRunner {
    private static final long PRIMARY_WAIT_MILLIS = 8_000;
    private static final long POLL_MILLIS = 100;

    private final Environment mEnvironment;
    private final ActiveCuts mCuts = new ActiveCuts();
    private final Map<String, List<String>> mStoppedServers = new HashMap<>();
    private final Map<String, List<String>> mFrozenServers = new HashMap<>();
    private final List<String> mFrozenInstances = new ArrayList<>();
    private final List<String> mOperatorViolations = new ArrayList<>();
    private int mNoteCount;

    ActionRunner(Environment environment) {
        mEnvironment = environment;
    }

    void run(Scenario.TimedAction action) throws InterruptedException {
        String first = action.arguments().isEmpty() ? "" : action.arguments().get(0);
        ScenarioFleet fleet = mEnvironment.fleet();
        switch (action.kind()) {
            case FREEZE_PRIMARY -> freezePrimary(first);
            case THAW_SERVERS -> thawServers(first);
            case STOP_PRIMARY -> stopPrimary(first);
            case START_SERVERS -> startServers(first);
            case CUT_PRIMARY, CUT_DOMAINS, CUT_STORE, CUT_OTHERS -> cut(action);
            case HEAL -> mCuts.heal(first);
            case STORE_OUTAGE -> setOutage(true);
            case STORE_BACK -> setOutage(false);
            case STORE_SLOW -> mEnvironment.store().setLatencyMillis(Long.parseLong(first));
            case STORE_LOSE_ANSWERS -> mEnvironment.store().loseAnswers(Integer.parseInt(first));
            case KILL_INSTANCE -> fleet.kill(first);
            case FREEZE_INSTANCE -> freezeInstance(first);
            case THAW_INSTANCE -> thawInstance(first);
            case TERMINATE_INSTANCE -> fleet.terminate(first);
            case RESTART_INSTANCE -> CompletableFuture.runAsync(() -> fleet.restart(first));
            case LAG -> group(first).setLagMillis(first, Long.parseLong(action.arguments().get(1)));
            case WITHDRAW_KEY -> withdrawKey(first);
            case LEAVING -> markLeaving(first);
            case APPLY_NOTE -> applyNotesConcurrently();
            default -> throw new IllegalStateException("unknown action " + action.kind());
        }
    }

    List<String> operatorViolations() {
        return mOperatorViolations;
    }

    /** Ends all faults and waits until each service has a primary. */
    void healAll() throws InterruptedException {
        mCuts.heal("all");
        mEnvironment.store().setLatencyMillis(0);
        mEnvironment.store().setOutage(false);
        List.copyOf(mFrozenInstances).forEach(this::thawInstance);
        for (String service : mEnvironment.scenario().deployment().services()) {
            thawServers(service);
            startServers(service);
        }
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PRIMARY_WAIT_MILLIS);
        for (String service : mEnvironment.scenario().deployment().services()) {
            while (mEnvironment.groups().primary(service).isEmpty()
                    && System.nanoTime() - deadline < 0) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    private void freezePrimary(String service) {
        String server = recordPrimaryFault(service);
        mFrozenServers.computeIfAbsent(service, key -> new ArrayList<>()).add(server);
        mEnvironment.groups().group(service).setFrozen(server, true);
    }

    private void thawServers(String service) {
        Optional.ofNullable(mFrozenServers.remove(service))
                .ifPresent(
                        servers ->
                                servers.forEach(server -> group(server).setFrozen(server, false)));
    }

    private void stopPrimary(String service) {
        String server = recordPrimaryFault(service);
        mStoppedServers.computeIfAbsent(service, key -> new ArrayList<>()).add(server);
        mEnvironment.groups().group(service).stop(server);
    }

    private void startServers(String service) {
        Optional.ofNullable(mStoppedServers.remove(service))
                .ifPresent(servers -> servers.forEach(server -> group(server).start(server)));
    }

    private String recordPrimaryFault(String service) {
        String server = mEnvironment.groups().primary(service).orElseThrow();
        mEnvironment.fleet().recordEvent(HistoryEvent.Kind.PRIMARY_FAULT, service);
        return server;
    }

    private void freezeInstance(String name) {
        mFrozenInstances.add(name);
        mEnvironment.fleet().freeze(name);
    }

    private void thawInstance(String name) {
        if (mFrozenInstances.remove(name)) {
            mEnvironment.fleet().thaw(name);
        }
    }

    private void setOutage(boolean isOut) {
        mEnvironment.store().setOutage(isOut);
        mEnvironment
                .fleet()
                .recordEvent(
                        isOut ? HistoryEvent.Kind.STORE_OUT : HistoryEvent.Kind.STORE_BACK,
                        "store");
    }

    private void markLeaving(String server) {
        mEnvironment.fleet().recordEvent(HistoryEvent.Kind.SERVER_LEAVING, server);
        for (String service : mEnvironment.scenario().deployment().services()) {
            if (mEnvironment.groups().primary(service).filter(server::equals).isPresent()) {
                // No write can run until another server is promoted.
                mEnvironment.fleet().recordEvent(HistoryEvent.Kind.PRIMARY_FAULT, service);
            }
        }
        group(server).setLeaving(server, true);
    }

    private GroupStandIn group(String server) {
        return mEnvironment.groups().groupOf(server);
    }

    private void cut(Scenario.TimedAction action) {
        String name = ActiveCuts.nameOf(action).orElseThrow();
        Partition partition = new Partition(name);
        String first = action.arguments().get(0);
        switch (action.kind()) {
            case CUT_DOMAINS ->
                    partition.cutDomains(List.of(first), List.of(action.arguments().get(1)));
            case CUT_STORE -> partition.cutStore(mEnvironment.fleet().instancesInDomain(first));
            case CUT_OTHERS -> {
                List<String> others =
                        mEnvironment.scenario().deployment().domains().stream()
                                .filter(domain -> !domain.equals(first))
                                .toList();
                partition.cutDomains(List.of(first), others);
                partition.cutStore(mEnvironment.fleet().instancesInDomain(first));
            }
            default -> partition.cutPrimary(first, List.of(action.arguments().get(1).split(",")));
        }
    }

    private void withdrawKey(String keyId) {
        int note = ++mNoteCount;
        mEnvironment
                .configurationWriter()
                .applyToCurrent(
                        base ->
                                new ReleaseNote(
                                        "withdraw-" + note + "-" + base.version(),
                                        base.version(),
                                        null,
                                        null,
                                        withdrawnPartsFor(base, keyId)));
        mEnvironment.fleet().recordEvent(HistoryEvent.Kind.KEY_WITHDRAWN, keyId);
    }

    private static WithdrawnParts withdrawnPartsFor(Configuration base, String keyId) {
        WorkspaceName owner =
                base.parts().workspaces().stream()
                        .filter(w -> w.keys().stream().anyMatch(key -> key.id().equals(keyId)))
                        .map(Workspace::name)
                        .findFirst()
                        .orElseThrow();
        return new WithdrawnParts(
                null, null, null, null, List.of(new WithdrawnParts.KeyReference(owner, keyId)));
    }

    /** Lets two operators apply notes against the same version; exactly one may be accepted. */
    private void applyNotesConcurrently() {
        Configuration base = mEnvironment.configurationWriter().read();
        int note = ++mNoteCount;
        List<CompletableFuture<ConfigurationWriter.Result>> results = new ArrayList<>();
        for (String operator : List.of("ada", "bea")) {
            ReleaseNote release = noteWithUnchangedWorkspace(base, "race-" + note + "-" + operator);
            results.add(
                    CompletableFuture.supplyAsync(
                            () -> mEnvironment.configurationWriter().apply(release)));
        }
        long accepted =
                results.stream()
                        .filter(r -> r.join() == ConfigurationWriter.Result.ACCEPTED)
                        .count();
        long steps = mEnvironment.configurationWriter().read().version() - base.version();
        if (accepted != 1 || steps != 1) {
            mOperatorViolations.add(accepted + " notes accepted, " + steps + " new versions");
        }
    }

    private static ReleaseNote noteWithUnchangedWorkspace(Configuration base, String id) {
        Workspace workspace = base.parts().workspaces().get(0);
        return new ReleaseNote(
                id,
                base.version(),
                null,
                new ConfigurationParts(null, null, List.of(workspace), null, null),
                null);
    }

    /** Makes the cuts that belong to one statement. */
    private final class Partition {
        private final String mName;
        private final ScenarioFleet mFleet = mEnvironment.fleet();

        Partition(String name) {
            mName = name;
        }

        void cutDomains(List<String> left, List<String> right) {
            Deployment deployment = mEnvironment.scenario().deployment();
            for (String a : mFleet.instanceNames()) {
                for (String b : mFleet.instanceNames()) {
                    if (crossesPartition(
                            mFleet.failureDomainOf(a), mFleet.failureDomainOf(b), left, right)) {
                        cutPeers(a, b);
                    }
                }
            }
            for (String service : deployment.services()) {
                List<String> servers = deployment.servers(service);
                for (int i = 0; i < servers.size(); i++) {
                    String domain = deployment.domainOfServer(service, i);
                    for (String instance : mFleet.instanceNames()) {
                        if (crossesPartition(
                                mFleet.failureDomainOf(instance), domain, left, right)) {
                            cutServer(servers.get(i), instance);
                        }
                    }
                    for (int j = 0; j < i; j++) {
                        String other = deployment.domainOfServer(service, j);
                        if (crossesPartition(domain, other, left, right)) {
                            cutReplication(servers.get(i), servers.get(j));
                        }
                    }
                }
            }
        }

        /** Puts the primary of a service and some instances on one side, the rest on the other. */
        void cutPrimary(String service, List<String> side) {
            String primary = recordPrimaryFault(service);
            for (GroupStandIn group : mEnvironment.groups().all()) {
                for (String server : group.serverNames()) {
                    boolean isPrimary = server.equals(primary);
                    mFleet.instanceNames().stream()
                            .filter(instance -> side.contains(instance) != isPrimary)
                            .forEach(instance -> cutServer(server, instance));
                    if (!isPrimary && group.serverNames().contains(primary)) {
                        cutReplication(primary, server);
                    }
                }
            }
            for (String inside : side) {
                for (String outside : mFleet.instanceNames()) {
                    if (!side.contains(outside)) {
                        cutPeers(inside, outside);
                        cutPeers(outside, inside);
                    }
                }
            }
            cutStore(side);
        }

        void cutStore(List<String> instances) {
            for (String instance : instances) {
                String ip = mFleet.ipOf(instance);
                mFleet.recordEvent(HistoryEvent.Kind.INSTANCE_CUT, instance);
                mCuts.cut(
                        mName,
                        () -> mEnvironment.store().cut(ip),
                        () -> {
                            mEnvironment.store().heal(ip);
                            mFleet.recordEvent(HistoryEvent.Kind.INSTANCE_HEALED, instance);
                        });
            }
        }

        private void cutPeers(String from, String to) {
            String source = mFleet.ipOf(from);
            String destination = mFleet.peerListenAddress(to);
            mCuts.cut(
                    mName,
                    () -> mEnvironment.relay().cut(source, destination, CutMode.HANG),
                    () -> mEnvironment.relay().heal(source, destination));
        }

        private void cutServer(String server, String instance) {
            String ip = mFleet.ipOf(instance);
            GroupStandIn group = group(server);
            mCuts.cut(mName, () -> group.cutSource(server, ip), () -> group.healSource(server, ip));
        }

        private void cutReplication(String first, String second) {
            GroupStandIn group = group(first);
            mCuts.cut(
                    mName,
                    () -> group.setCut(first, second, true),
                    () -> group.setCut(first, second, false));
        }

        private static boolean crossesPartition(
                String a, String b, List<String> left, List<String> right) {
            return left.contains(a) && right.contains(b) || right.contains(a) && left.contains(b);
        }
    }
}
