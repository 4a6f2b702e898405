package org.plantainferry.engine.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Lists the servers of all groups at one moment; immutable.
 *
 * @since 0.2
 */
public final class ServerCatalog {
    /** The catalog before the first one was read. */
    public static final ServerCatalog EMPTY = new ServerCatalog(List.of(), Map.of(), Map.of());

    private final Map<String, CatalogServer> mById = new HashMap<>();
    private final Map<String, List<CatalogServer>> mByService = new HashMap<>();
    private final Map<String, String> mPrimaries;
    private final Map<String, Set<String>> mContested;

    /**
     * Creates a catalog of servers with different ids.
     *
     * @param primaries the id of the present primary by service
     * @param contested the ids that claim the role, by service, where it is open which one is right
     */
    public ServerCatalog(
            Iterable<CatalogServer> servers,
            Map<String, String> primaries,
            Map<String, Set<String>> contested) {
        for (CatalogServer server : servers) {
            mById.put(server.id(), server);
            mByService.computeIfAbsent(server.service(), key -> new ArrayList<>()).add(server);
        }
        mPrimaries = Map.copyOf(primaries);
        mContested = Map.copyOf(contested);
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

    /** Returns the servers that claim to lead a service, where it is open which one is right. */
    public List<CatalogServer> contenders(String service) {
        return mContested.getOrDefault(service, Set.of()).stream()
                .map(mById::get)
                .filter(Objects::nonNull)
                .toList();
    }

    /** Returns all servers. */
    public List<CatalogServer> allServers() {
        return List.copyOf(mById.values());
    }
}
