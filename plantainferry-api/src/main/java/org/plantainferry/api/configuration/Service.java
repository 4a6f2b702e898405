package org.plantainferry.api.configuration;

import java.util.List;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;

/**
 * Describes a service: a database with its group of servers.
 *
 * @param name the name that callers use
 * @param slots statements that one server runs at the same time
 * @param connectionLimit connections that one server accepts
 * @param servers the servers of the group; an odd number avoids ties in fencing
 * @since 0.1
 */
public record Service(
        ServiceName name, int slots, int connectionLimit, List<TargetServer> servers) {
    /** Checks the ranges. */
    public Service {
        Preconditions.notNull(name, "service name");
        String place = "service " + name + ": ";
        Preconditions.condition(slots >= 1, place + "slots must be at least 1");
        Preconditions.condition(
                connectionLimit >= slots, place + "connectionLimit must not be below slots");
        Preconditions.condition(
                servers != null && !servers.isEmpty(), place + "servers must not be empty");
        servers = List.copyOf(servers);
        Preconditions.condition(
                servers.stream().map(TargetServer::id).distinct().count() == servers.size(),
                place + "server identifiers must be unique");
    }

    /** Returns the number of servers that is more than half of the group. */
    public int majoritySize() {
        return servers.size() / 2 + 1;
    }
}
