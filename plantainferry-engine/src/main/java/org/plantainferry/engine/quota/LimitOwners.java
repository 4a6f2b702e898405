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
 * Chooses the instances that enforce the limit of a workspace in a large fleet.
 *
 * <p>An even share of a small limit is less than one operation, so no instance could serve a
 * request from it. Such a limit is divided equally among one owner in each failure domain; the
 * other instances request tokens from an owner, starting with that of their own domain. A domain
 * that is cut off continues with the share of its owner. All instances with the same view of the
 * fleet choose the same owners. Not thread-safe.
 *
 * @since 0.2
 */
public final class LimitOwners {
    // With fewer tokens, an instance could rarely serve two simultaneous callers.
    private static final double MINIMUM_EVEN_TOKENS = 4;

    private final String mFailureDomain;
    private final Map<String, Long> mHashes = new HashMap<>();
    private final Map<String, String> mDomains;
    private final int mDomainCount;
    private final Map<String, List<String>> mOwnersByWorkspace = new HashMap<>();

    /**
     * Creates an instance for one view of the fleet.
     *
     * @param failureDomain the failure domain of this instance
     * @param domains the failure domain of each instance, including this one
     */
    public LimitOwners(String failureDomain, Map<String, String> domains) {
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
        mDomains = Map.copyOf(domains);
        mDomainCount = (int) domains.values().stream().distinct().count();
        mDomains.keySet().forEach(name -> mHashes.put(name, RendezvousScore.hash(name)));
    }

    /**
     * Returns whether a limit is too small to be divided among all instances, so owners enforce it.
     */
    public boolean isEnforcedByOwners(WorkspaceLimit limit) {
        double tokens = limit.ratePerSecond() + limit.burst();
        return tokens / Math.max(1, mDomains.size()) < MINIMUM_EVEN_TOKENS && mDomains.size() > 1;
    }

    /** Returns the owners of a workspace in the order in which this instance asks them. */
    public List<String> owners(String workspace) {
        return mOwnersByWorkspace.computeIfAbsent(workspace, this::chooseOwners);
    }

    private List<String> chooseOwners(String workspace) {
        long workspaceHash = RendezvousScore.hash(workspace);
        Map<String, String> ownerByDomain = new HashMap<>();
        mDomains.forEach(
                (name, domain) ->
                        ownerByDomain.merge(
                                domain,
                                name,
                                (first, second) ->
                                        score(second, workspaceHash) > score(first, workspaceHash)
                                                ? second
                                                : first));
        List<String> owners = new ArrayList<>(ownerByDomain.values());
        owners.sort(
                Comparator.comparing((String name) -> !mDomains.get(name).equals(mFailureDomain))
                        .thenComparing(name -> score(name, workspaceHash)));
        return List.copyOf(owners);
    }

    private long score(String name, long workspaceHash) {
        return RendezvousScore.score(mHashes.get(name), workspaceHash);
    }

    /** Returns the number of owners of each limit, one for each failure domain. */
    public int ownerCount() {
        return mDomainCount;
    }

    /** Returns the share of a limit that each of its owners enforces. */
    public static WorkspaceLimit ownerLimit(WorkspaceLimit limit, int owners) {
        return new WorkspaceLimit(limit.ratePerSecond() / owners, limit.burst() / owners);
    }
}
