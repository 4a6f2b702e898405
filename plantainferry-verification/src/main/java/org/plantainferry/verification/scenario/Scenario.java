package org.plantainferry.verification.scenario;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.plantainferry.verification.history.RateLimit;

/** Holds a parsed scenario. */
record Scenario(
        long seed,
        Deployment deployment,
        int instancesPerDomain,
        List<Workspace> workspaces,
        Load load,
        List<TimedAction> actions,
        List<Expectation> expectations) {
    /**
     * Describes a workspace, which has the keys NAME-a and NAME-b.
     *
     * @param instance the instance that all its clients call; empty when each call goes to a random
     *     instance
     */
    record Workspace(String name, double rate, double burst, Optional<String> instance) {
        List<String> keyIds() {
            return List.of(name + "-a", name + "-b");
        }
    }

    /** Describes the load: the number of clients of each kind and the duration. */
    record Load(int writers, int readers, int transactions, long millis) {}

    /** Describes an action that runs at a time after the start of the load. */
    record TimedAction(long atMillis, ActionKind kind, List<String> arguments, int line) {}

    /** Describes an expectation of the run; the limit is in the unit of the kind. */
    record Expectation(ExpectationKind kind, double limit) {}

    enum ExpectationKind {
        NO_BROKEN_PROMISE,
        FAILOVER_BELOW_SECONDS,
        REPLICA_SHARE_ABOVE_PERCENT,
        WRONGFUL_REFUSALS_BELOW_PERCENT
    }

    Scenario withSeed(long newSeed) {
        return new Scenario(
                newSeed, deployment, instancesPerDomain, workspaces, load, actions, expectations);
    }

    List<String> instances() {
        return deployment.instances(instancesPerDomain);
    }

    Map<String, RateLimit> limits() {
        Map<String, RateLimit> limits = new TreeMap<>();
        workspaces.forEach(
                workspace ->
                        limits.put(
                                workspace.name(), new RateLimit(workspace.rate, workspace.burst)));
        return limits;
    }
}
