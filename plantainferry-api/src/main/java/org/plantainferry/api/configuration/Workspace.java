package org.plantainferry.api.configuration;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;

/**
 * Describes a workspace: its limits, its keys and the services it may use.
 *
 * @param name the name of the workspace
 * @param ratePerSecond statements a second that the workspace may start across the whole fleet
 * @param burst statements that it may start at once after a pause
 * @param weight its part of a contended target, relative to other workspaces; 1 when absent
 * @param servesWhenIsolated whether its keys are accepted in a failure domain that cannot confirm
 *     the configuration; a withdrawn key may then work until the domain is reachable again; false
 *     when absent
 * @param services the services that it may use
 * @param keys its keys
 * @since 0.1
 */
public record Workspace(
        WorkspaceName name,
        double ratePerSecond,
        double burst,
        Optional<Double> weight,
        Optional<Boolean> servesWhenIsolated,
        List<ServiceName> services,
        List<CallerKey> keys) {
    private static final double DEFAULT_WEIGHT = 1.0;

    /** Checks the ranges; missing lists are empty. */
    public Workspace {
        Preconditions.notNull(name, "workspace name");
        String place = "workspace " + name + ": ";
        Preconditions.condition(
                Double.isFinite(ratePerSecond) && ratePerSecond > 0,
                place + "ratePerSecond must be greater than 0");
        Preconditions.condition(
                Double.isFinite(burst) && burst >= 1, place + "burst must be at least 1");
        weight = weight == null ? Optional.empty() : weight;
        Preconditions.condition(
                weight.isEmpty() || (Double.isFinite(weight.get()) && weight.get() > 0),
                place + "weight must be greater than 0");
        servesWhenIsolated = servesWhenIsolated == null ? Optional.empty() : servesWhenIsolated;
        services = services == null ? List.of() : List.copyOf(services);
        keys = keys == null ? List.of() : List.copyOf(keys);
    }

    /** Returns the weight, or 1 when none is set. */
    public double effectiveWeight() {
        return weight.orElse(DEFAULT_WEIGHT);
    }

    /** Returns whether keys are accepted in a failure domain that is cut off. */
    public boolean acceptsKeysWhenIsolated() {
        return servesWhenIsolated.orElse(false);
    }

    /** Returns whether the workspace may use a service. */
    public boolean mayUse(ServiceName service) {
        return services.contains(service);
    }

    /** Returns a copy with other keys. */
    public Workspace withKeys(List<CallerKey> otherKeys) {
        return new Workspace(
                name, ratePerSecond, burst, weight, servesWhenIsolated, services, otherKeys);
    }
}
