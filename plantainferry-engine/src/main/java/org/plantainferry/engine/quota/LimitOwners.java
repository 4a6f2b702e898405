package org.plantainferry.engine.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.plantainferry.engine.membership.RendezvousScore;

/**
 * Chooses the instances that keep the limit of a workspace in a large fleet.
 *
 * <p>An even part of a small limit is less than one operation, so nobody could be served from it.
 * Such a limit is kept by one instance of each failure domain, in equal parts; the others ask a
 * keeper for each operation, that of their own domain first. A domain that is cut off goes on with
 * the part of its keeper. All instances with the same view choose alike. Used by one thread.
 *
 * @since 0.2
 */
public final class LimitOwners {
    // Below this an instance could rarely serve two callers that come together.
    private static final double MINIMUM_EVEN_TOKENS = 4;

    private final String mFailureDomain;
    private final Map<String, Long> mHashes = new HashMap<>();
    private final Map<String, String> mDomains;
    private final int mDomainCount;
    private final Map<String, List<String>> mOwnersByWorkspace = new HashMap<>();

    /**
     * Creates the choice for one view of the fleet.
     *
     * @param failureDomain the failure domain of this instance
     * @param ownerCount the failure domain of each instance, this one included
     */
    public LimitOwners(String failureDomain, Map<String, String> domains) {
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
        mDomains = Map.copyOf(domains);
        mDomainCount = (int) domains.values().stream().distinct().count();
        mDomains.keySet().forEach(name -> mHashes.put(name, RendezvousScore.hash(name)));
    }

    /** Returns whether a limit is too small to be divided among all instances. */
    public boolean isEnforcedByOwners(WorkspaceLimit limit) {
        double tokens = limit.ratePerSecond() + limit.burst();
        return tokens / Math.max(1, mDomains.size()) < MINIMUM_EVEN_TOKENS && mDomains.size() > 1;
    }

    /** Returns the keepers of a workspace in the order in which this instance asks them. */
    public List<String> owners(String workspace) {
        return mOwnersByWorkspace.computeIfAbsent(workspace, this::chooseOwners);
    }

    private List<String> chooseOwners(String workspace) {
        long subject = RendezvousScore.hash(workspace);
        Map<String, String> best = new HashMap<>();
        mDomains.forEach(
                (name, domain) ->
                        best.merge(
                                domain,
                                name,
                                (one, other) ->
                                        score(other, subject) > score(one, subject) ? other : one));
        List<String> keepers = new ArrayList<>(best.values());
        keepers.sort(
                Comparator.comparing((String name) -> !mDomains.get(name).equals(mFailureDomain))
                        .thenComparing(name -> score(name, subject)));
        return List.copyOf(keepers);
    }

    private long score(String name, long subject) {
        return RendezvousScore.score(mHashes.get(name), subject);
    }

    /** Returns in how many parts a limit is kept. */
    public int ownerCount() {
        return mDomainCount;
    }

    /** Returns the limit that each of the keepers keeps. */
    public static WorkspaceLimit ownerLimit(WorkspaceLimit limit, int keepers) {
        return new WorkspaceLimit(limit.ratePerSecond() / keepers, limit.burst() / keepers);
    }
}
