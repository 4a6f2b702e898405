package org.plantainferry.engine.catalog;

import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which server of each group last became its primary.
 *
 * <p>A primary that died still calls itself one until its entry lapses, so two servers may claim
 * the role at the same time; the one whose entry changed last is right. Used by one thread.
 *
 * @since 0.2
 */
public final class PrimaryBeliefs {
    private record Claim(String server, long revision) {}

    private final Map<String, Map<String, Claim>> mClaims = new HashMap<>();

    /** Notes the entry of a server, with the revision of its last change. */
    public void onEntry(CatalogServer server, long revision) {
        Map<String, Claim> claims =
                mClaims.computeIfAbsent(server.service(), key -> new HashMap<>());
        if (!server.primary()) {
            claims.remove(server.id());
            return;
        }
        // Later changes of the entry of a primary are no new claim.
        claims.putIfAbsent(server.id(), new Claim(server.id(), revision));
    }

    /** Notes that the entry of a server is gone. */
    public void onRemoved(CatalogServer server) {
        Map<String, Claim> claims = mClaims.get(server.service());
        if (claims != null) {
            claims.remove(server.id());
        }
    }

    /** Returns the id of the primary of each service that has one. */
    public Map<String, String> primaries() {
        Map<String, String> primaries = new HashMap<>();
        mClaims.forEach(
                (service, claims) ->
                        claims.values().stream()
                                .max((one, other) -> Long.compare(one.revision, other.revision))
                                .ifPresent(claim -> primaries.put(service, claim.server)));
        return primaries;
    }
}
