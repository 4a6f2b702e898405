package org.plantainferry.engine.catalog;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.engine.freshness.StoreRevision;

/**
 * Resolves which server of each group is its primary.
 *
 * <p>Two servers may claim the role at the same time: a dead server does so until its entry
 * expires, and a server that was partitioned does so again until it has reached its successor. A
 * server that was a replica before must have been promoted, and the newest promotion wins. A server
 * that first appears as a primary may be a former primary, so it does not displace another one.
 * When neither rule applies, the role is contested until {@link #resolve} is called. Not
 * thread-safe.
 *
 * @since 0.2
 */
public final class PrimaryResolver {
    private record Claim(String server, StoreRevision revision, boolean promoted) {}

    private final Map<String, Map<String, Claim>> mClaimsByService = new HashMap<>();
    private final Map<String, String> mLastResolved = new HashMap<>();
    private final Set<String> mKnownReplicas = new HashSet<>();

    /** Records the entry of a server, with the revision of its last change. */
    public void onServerEntry(CatalogServer server, StoreRevision revision) {
        Map<String, Claim> claims =
                mClaimsByService.computeIfAbsent(server.service(), key -> new HashMap<>());
        if (!server.primary()) {
            claims.remove(server.id());
            mKnownReplicas.add(server.id());
            return;
        }
        boolean promoted = mKnownReplicas.contains(server.id());
        // Later changes of a primary's entry are not new claims.
        claims.putIfAbsent(server.id(), new Claim(server.id(), revision, promoted));
    }

    /**
     * Records that a server was found to be the primary before its entry reports it.
     *
     * <p>Its own entry and those of later primaries take effect again as soon as they arrive.
     */
    public void onPrimaryFound(CatalogServer server) {
        Map<String, Claim> claims =
                mClaimsByService.computeIfAbsent(server.service(), key -> new HashMap<>());
        StoreRevision newest =
                claims.values().stream()
                        .map(Claim::revision)
                        .max(Comparator.naturalOrder())
                        .orElse(StoreRevision.NONE);
        StoreRevision next = new StoreRevision(newest.epoch(), newest.number() + 1);
        claims.putIfAbsent(server.id(), new Claim(server.id(), next, true));
    }

    /** Records that the entry of a server was removed. */
    public void onServerRemoved(CatalogServer server) {
        mKnownReplicas.remove(server.id());
        Map<String, Claim> claims = mClaimsByService.get(server.service());
        if (claims != null) {
            claims.remove(server.id());
        }
    }

    /** Resolves a contested role in favor of the server that was found to have the newest term. */
    public void resolve(String service, String server) {
        Map<String, Claim> claims = mClaimsByService.getOrDefault(service, Map.of());
        if (claims.containsKey(server)) {
            mLastResolved.put(service, server);
        }
    }

    /** Returns the id of the primary of each service whose primary is known. */
    public Map<String, String> primaries() {
        Map<String, String> primaries = new HashMap<>();
        mClaimsByService.forEach(
                (service, claims) ->
                        choose(service, claims.values())
                                .ifPresent(server -> primaries.put(service, server)));
        mLastResolved.clear();
        mLastResolved.putAll(primaries);
        return primaries;
    }

    /**
     * Returns the ids of the servers that claim the role, for each service where it is contested.
     */
    public Map<String, Set<String>> contestedRoles() {
        Map<String, Set<String>> contested = new HashMap<>();
        mClaimsByService.forEach(
                (service, claims) -> {
                    if (!claims.isEmpty() && choose(service, claims.values()).isEmpty()) {
                        contested.put(service, Set.copyOf(claims.keySet()));
                    }
                });
        return contested;
    }

    private Optional<String> choose(String service, Collection<Claim> claims) {
        Optional<Claim> promoted =
                claims.stream().filter(Claim::promoted).max(Comparator.comparing(Claim::revision));
        if (promoted.isPresent()) {
            return promoted.map(Claim::server);
        }
        if (claims.size() == 1) {
            return Optional.of(claims.iterator().next().server());
        }
        String lastResolved = mLastResolved.get(service);
        return claims.stream().map(Claim::server).filter(id -> id.equals(lastResolved)).findFirst();
    }
}
