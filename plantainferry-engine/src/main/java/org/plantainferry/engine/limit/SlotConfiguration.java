package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.DomainShare;
import org.plantainferry.api.configuration.Workspace;

/**
 * Derives the limit that one share slot contributes from the configuration, including during a
 * change of version.
 *
 * <p>Other instances may use an earlier version for several seconds. Until a version has settled,
 * the limit of a slot is at most max(old limit, new limit) / old number of slots, and only slots
 * that exist in both versions are used. The sum over any mix of instances therefore stays within
 * the greater limit. If the number of slots is unchanged, a new limit applies at once.
 *
 * @since 0.1
 */
public final class SlotConfiguration {
    /**
     * Contains an earlier version, with an index of its workspaces because lookups are frequent.
     */
    private record EarlierVersion(
            Configuration configuration,
            Map<WorkspaceName, Workspace> workspaces,
            long replacedNanos) {}

    private record StoredSlotCounts(
            FailureDomain domain, int domainSlots, int totalSlots, long readNanos) {}

    private final List<EarlierVersion> mEarlierVersions = new ArrayList<>();
    private Optional<StoredSlotCounts> mStoredSlotCounts = Optional.empty();
    private Configuration mCurrent;
    private Map<WorkspaceName, Workspace> mWorkspaces;

    /** Creates an instance with the first known version, which counts as settled. */
    public SlotConfiguration(Configuration configuration) {
        mCurrent = Preconditions.notNull(configuration, "configuration");
        mWorkspaces = indexByName(configuration);
    }

    /** Puts a newer version in force; ignores the current and earlier versions. */
    public void install(long nowNanos, Configuration configuration) {
        if (configuration.version() > mCurrent.version()) {
            mEarlierVersions.add(new EarlierVersion(mCurrent, mWorkspaces, nowNanos));
            mCurrent = configuration;
            mWorkspaces = indexByName(configuration);
        }
    }

    /**
     * Applies the numbers of slots that are stored in the slot table of a failure domain.
     *
     * <p>A process that starts during a configuration change has not seen the earlier version.
     * Stored numbers that differ from the configuration show that an earlier version may still be
     * in force.
     */
    public void applyStoredSlotCounts(long nowNanos, FailureDomain domain, int slots, int total) {
        boolean unchanged = slots == configuredSlots(domain) && total == mCurrent.totalShareSlots();
        if (!unchanged && total > 0) {
            mStoredSlotCounts = Optional.of(new StoredSlotCounts(domain, slots, total, nowNanos));
        }
    }

    /** Returns the number of slots of a failure domain in the version in force, or 0. */
    public int configuredSlots(FailureDomain domain) {
        return domainSlots(mCurrent, domain);
    }

    /** Returns the version in force. */
    public Configuration configuration() {
        return mCurrent;
    }

    /** Returns whether no earlier version can be in force on any instance. */
    public boolean isSettled(long nowNanos) {
        removeSettled(nowNanos);
        return mEarlierVersions.isEmpty() && mStoredSlotCounts.isEmpty();
    }

    /** Returns the number of slots of a failure domain, counted from index 0, that may be used. */
    public int usableSlots(long nowNanos, FailureDomain domain) {
        removeSettled(nowNanos);
        int usable = domainSlots(mCurrent, domain);
        for (EarlierVersion earlier : mEarlierVersions) {
            // Version 0 has no slots and no limits, so it does not restrict later versions.
            if (earlier.configuration.totalShareSlots() > 0) {
                usable = Math.min(usable, domainSlots(earlier.configuration, domain));
            }
        }
        if (mStoredSlotCounts.isPresent() && mStoredSlotCounts.get().domain().equals(domain)) {
            usable = Math.min(usable, mStoredSlotCounts.get().domainSlots());
        }
        return usable;
    }

    /** Returns the limit of one slot for a workspace; zero for an unknown workspace. */
    public SlotLimit slotLimit(long nowNanos, WorkspaceName name) {
        removeSettled(nowNanos);
        Optional<Workspace> workspace = Optional.ofNullable(mWorkspaces.get(name));
        int total = mCurrent.totalShareSlots();
        if (workspace.isEmpty() || total == 0) {
            return SlotLimit.NONE;
        }
        double rate = workspace.get().ratePerSecond() / total;
        double capacity = workspace.get().burst() / total;
        double highestRate = workspace.get().ratePerSecond();
        double highestBurst = workspace.get().burst();
        for (EarlierVersion earlier : mEarlierVersions) {
            Optional<Workspace> earlierWorkspace =
                    Optional.ofNullable(earlier.workspaces.get(name));
            highestRate =
                    Math.max(
                            highestRate,
                            earlierWorkspace.map(Workspace::ratePerSecond).orElse(0.0));
            highestBurst =
                    Math.max(highestBurst, earlierWorkspace.map(Workspace::burst).orElse(0.0));
        }
        for (EarlierVersion earlier : mEarlierVersions) {
            int earlierTotal = earlier.configuration.totalShareSlots();
            if (earlierTotal > 0) {
                rate = Math.min(rate, highestRate / earlierTotal);
                capacity = Math.min(capacity, highestBurst / earlierTotal);
            }
        }
        if (mStoredSlotCounts.isPresent()) {
            rate = Math.min(rate, highestRate / mStoredSlotCounts.get().totalSlots());
            capacity = Math.min(capacity, highestBurst / mStoredSlotCounts.get().totalSlots());
        }
        return new SlotLimit(rate, capacity);
    }

    private void removeSettled(long nowNanos) {
        mEarlierVersions.removeIf(
                earlier ->
                        nowNanos - earlier.replacedNanos
                                >= ShareTiming.CONFIGURATION_SETTLING_NANOS);
        mStoredSlotCounts =
                mStoredSlotCounts.filter(
                        stored ->
                                nowNanos - stored.readNanos
                                        < ShareTiming.CONFIGURATION_SETTLING_NANOS);
    }

    private static int domainSlots(Configuration configuration, FailureDomain domain) {
        return configuration.parts().failureDomains().stream()
                .filter(share -> share.name().equals(domain))
                .mapToInt(DomainShare::shareSlots)
                .findFirst()
                .orElse(0);
    }

    private static Map<WorkspaceName, Workspace> indexByName(Configuration configuration) {
        Map<WorkspaceName, Workspace> byName = new HashMap<>();
        configuration
                .parts()
                .workspaces()
                .forEach(workspace -> byName.put(workspace.name(), workspace));
        return byName;
    }
}
