package org.plantainferry.engine.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Lists the servers of all groups at one moment; immutable.
 *
 * @since 0.2
 */
public final class ServerCatalog {
    /** The catalog before the first one was read. */
    public static final ServerCatalog EMPTY = new ServerCatalog(List.of(), Map.of());

    private final Map<String, CatalogServer> mById = new HashMap<>();
    private final Map<String, List<CatalogServer>> mByService = new HashMap<>();
    private final Map<String, String> mPrimaries;

    /**
     * Creates a catalog of servers with different ids.
     *
     * @param primaries the id of the present primary by service
     */
    public ServerCatalog(Iterable<CatalogServer> servers, Map<String, String> primaries) {
        for (CatalogServer server : servers) {
            mById.put(server.id(), server);
            mByService.computeIfAbsent(server.service(), key -> new ArrayList<>()).add(server);
        }
        mPrimaries = Map.copyOf(primaries);
    }

    /** Returns a server by its id. */
    public Optional<CatalogServer> server(String id) {
        return Optional.ofNullable(mById.get(id));
    }

    /** Returns the names of the services that have servers. */
    public Set<String> services() {
        return Set.copyOf(mByService.keySet());
    }

    /** Returns the servers of a service; empty for an unknown one. */
    public List<CatalogServer> servers(String service) {
        return List.copyOf(mByService.getOrDefault(service, List.of()));
    }

    /** Returns the server that last became the primary of a service. */
    public Optional<CatalogServer> primary(String service) {
        return Optional.ofNullable(mPrimaries.get(service)).map(mById::get);
    }

    /** Returns all servers. */
    public List<CatalogServer> all() {
        return List.copyOf(mById.values());
    }
}
