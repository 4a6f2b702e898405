package org.plantainferry.engine.hosting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.membership.RendezvousScore;

/**
 * Ranks the instances that may be the host of a service, by rendezvous hashing.
 *
 * <p>All instances with the same list compute the same ranks. When an instance comes or goes, only
 * the services move of which it is a host. Rankings are computed once for each query. Not
 * thread-safe.
 *
 * @since 0.4
 */
public final class HostRanking {
    /** The number of instances that are ranked for a query. */
    public static final int RANKS = 3;

    private final Map<String, String> mDomains;
    private final Map<String, Long> mHashes = new HashMap<>();
    private final Map<Query, List<String>> mRankings = new HashMap<>();

    /** Identifies a ranking; the domain is empty if instances of all domains are ranked. */
    private record Query(boolean reads, String service, String domain) {}

    /**
     * Creates the rankings of a list of instances.
     *
     * @param domains the failure domain of each instance
     */
    public HostRanking(Map<String, String> domains) {
        Preconditions.condition(!domains.isEmpty(), "domains must not be empty");
        mDomains = Map.copyOf(domains);
        mDomains.keySet().forEach(name -> mHashes.put(name, RendezvousScore.hash(name)));
    }

    /** Returns the failure domains from which this ranking was computed, by instance. */
    public Map<String, String> domains() {
        return mDomains;
    }

    /**
     * Returns the instances for the work of the primary of a service, the best first.
     *
     * @param primaryDomain the failure domain of the primary; empty when it is unknown
     */
    public List<String> forPrimary(String service, Optional<String> primaryDomain) {
        String domain = primaryDomain.filter(mDomains::containsValue).orElse("");
        return mRankings.computeIfAbsent(new Query(false, service, domain), this::rank);
    }

    /**
     * Returns the instances for the reads of a service that replicas may answer, the best first.
     *
     * @param domain the failure domain from which the reads come
     */
    public List<String> forReads(String service, String domain) {
        return mRankings.computeIfAbsent(new Query(true, service, domain), this::rank);
    }

    private List<String> rank(Query query) {
        String key = (query.reads() ? "reads " : "primary ") + query.service();
        long keyHash = RendezvousScore.hash(key);
        List<String> candidates = new ArrayList<>();
        mDomains.forEach(
                (name, domain) -> {
                    if (query.domain().isEmpty() || query.domain().equals(domain)) {
                        candidates.add(name);
                    }
                });
        candidates.sort(
                Comparator.comparingLong(
                                (String name) -> RendezvousScore.score(mHashes.get(name), keyHash))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()));
        return List.copyOf(candidates.subList(0, Math.min(RANKS, candidates.size())));
    }
}
