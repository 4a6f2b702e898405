package org.plantainferry.engine.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Lists the servers of all groups at one moment; immutable.
 *
 * @since 0.2
 */
public final class ServerCatalog {
    /** The catalog before the first one was read. */
    public static final ServerCatalog EMPTY = new ServerCatalog(List.of());

    private final Map<String, CatalogServer> mById = new HashMap<>();
    private final Map<String, List<CatalogServer>> mByService = new HashMap<>();

    /** Creates a catalog of servers with different ids. */
    public ServerCatalog(Iterable<CatalogServer> servers) {
        for (CatalogServer server : servers) {
            mById.put(server.id(), server);
            mByService.computeIfAbsent(server.service(), key -> new ArrayList<>()).add(server);
        }
    }

    /** Returns a server by its id. */
    public Optional<CatalogServer> server(String id) {
        return Optional.ofNullable(mById.get(id));
    }

    /** Returns the servers of a service; empty for an unknown one. */
    public List<CatalogServer> servers(String service) {
        return List.copyOf(mByService.getOrDefault(service, List.of()));
    }

    /** Returns all servers. */
    public List<CatalogServer> all() {
        return List.copyOf(mById.values());
    }
}
