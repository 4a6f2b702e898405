package org.plantainferry.engine.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Remembers which server of each group last became its primary.
 *
 * <p>Two servers may claim the role at the same time: one that died still does until its entry
 * lapses, and one that was cut off does so again until it has reached its successor. A server that
 * was seen as a replica before was promoted, and the newest promotion is right. A server that comes
 * into sight as a primary was perhaps one long ago: it does not displace another one. Where neither
 * is known, the role is contested until {@link #resolve}. Used by one thread.
 *
 * @since 0.2
 */
public final class PrimaryResolver {
    private record Claim(String server, long revision, boolean promoted) {}

    private final Map<String, Map<String, Claim>> mClaimsByService = new HashMap<>();
    private final Map<String, String> mLastResolved = new HashMap<>();
    private final Set<String> mKnownReplicas = new HashSet<>();

    /** Notes the entry of a server, with the revision of its last change. */
    public void onServerEntry(CatalogServer server, long revision) {
        Map<String, Claim> claims =
                mClaimsByService.computeIfAbsent(server.service(), key -> new HashMap<>());
        if (!server.primary()) {
            claims.remove(server.id());
            mKnownReplicas.add(server.id());
            return;
        }
        boolean promoted = mKnownReplicas.contains(server.id());
        // Later changes of the entry of a primary are no new claim.
        claims.putIfAbsent(server.id(), new Claim(server.id(), revision, promoted));
    }

    /**
     * Notes that a server was found to lead, before its entry says so.
     *
     * <p>Its own entry and those of later primaries count again as soon as they come.
     */
    public void onPrimaryFound(CatalogServer server) {
        Map<String, Claim> claims =
                mClaimsByService.computeIfAbsent(server.service(), key -> new HashMap<>());
        long newest =
                claims.values().stream().mapToLong(Claim::revision).max().orElse(Long.MIN_VALUE);
        claims.putIfAbsent(server.id(), new Claim(server.id(), newest + 1, true));
    }

    /** Notes that the entry of a server is gone. */
    public void onServerRemoved(CatalogServer server) {
        mKnownReplicas.remove(server.id());
        Map<String, Claim> claims = mClaimsByService.get(server.service());
        if (claims != null) {
            claims.remove(server.id());
        }
    }

    /** Takes a server for the primary, because it was found to have the newest term. */
    public void resolve(String service, String server) {
        Map<String, Claim> claims = mClaimsByService.getOrDefault(service, Map.of());
        if (claims.containsKey(server)) {
            mLastResolved.put(service, server);
        }
    }

    /** Returns the id of the primary of each service that has one. */
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

    /** Returns the servers that claim the role in each service where it is contested. */
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
                claims.stream()
                        .filter(Claim::promoted)
                        .max((one, other) -> Long.compare(one.revision, other.revision));
        if (promoted.isPresent()) {
            return promoted.map(Claim::server);
        }
        if (claims.size() == 1) {
            return Optional.of(claims.iterator().next().server());
        }
        String believed = mLastResolved.get(service);
        return claims.stream().map(Claim::server).filter(id -> id.equals(believed)).findFirst();
    }
}
