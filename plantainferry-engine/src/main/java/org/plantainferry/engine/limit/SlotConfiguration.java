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
 * Derives the value of a share slot from the configuration, also while versions change.
 *
 * <p>Other instances may use an earlier version for some seconds. Until a version has settled, a
 * slot is worth at most max(old limit, new limit) / old number of slots, and only slots that exist
 * in both versions are used; so the sum over any mix of instances stays within the greater limit.
 * When the number of slots is unchanged, a new limit applies at once.
 *
 * @since 0.1
 */
public final class SlotConfiguration {
    /** Holds an earlier version; its workspaces are indexed, as each of many is looked up often. */
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

    /** Creates terms from the first known version, which counts as settled. */
    public SlotConfiguration(Configuration configuration) {
        mCurrent = Preconditions.notNull(configuration, "configuration");
        mWorkspaces = indexByName(configuration);
    }

    /** Puts a newer version in force; other versions are ignored. */
    public void install(long nowNanos, Configuration configuration) {
        if (configuration.version() > mCurrent.version()) {
            mEarlierVersions.add(new EarlierVersion(mCurrent, mWorkspaces, nowNanos));
            mCurrent = configuration;
            mWorkspaces = indexByName(configuration);
        }
    }

    /**
     * Takes the numbers of slots under which the slots of a domain were last used.
     *
     * <p>A process that starts during a change has not seen the earlier version itself; different
     * numbers in the slot table show that one may still be in force.
     */
    public void applyStoredSlotCounts(long nowNanos, FailureDomain domain, int slots, int total) {
        boolean same = slots == configuredSlots(domain) && total == mCurrent.totalShareSlots();
        if (!same && total > 0) {
            mStoredSlotCounts = Optional.of(new StoredSlotCounts(domain, slots, total, nowNanos));
        }
    }

    /** Returns the number of slots of a failure domain in the version in force. */
    public int configuredSlots(FailureDomain domain) {
        return domainSlots(mCurrent, domain);
    }

    /** Returns the version in force. */
    public Configuration configuration() {
        return mCurrent;
    }

    /** Returns whether no earlier version can be in force anywhere. */
    public boolean isSettled(long nowNanos) {
        removeSettled(nowNanos);
        return mEarlierVersions.isEmpty() && mStoredSlotCounts.isEmpty();
    }

    /** Returns how many slots of a failure domain, counted from index 0, are in use. */
    public int usableSlots(long nowNanos, FailureDomain domain) {
        removeSettled(nowNanos);
        int usable = domainSlots(mCurrent, domain);
        for (EarlierVersion past : mEarlierVersions) {
            // Version 0 has no slots at all and no limits, so it does not restrict its successor.
            if (past.configuration.totalShareSlots() > 0) {
                usable = Math.min(usable, domainSlots(past.configuration, domain));
            }
        }
        if (mStoredSlotCounts.isPresent() && mStoredSlotCounts.get().domain().equals(domain)) {
            usable = Math.min(usable, mStoredSlotCounts.get().domainSlots());
        }
        return usable;
    }

    /** Returns the value of one slot for a workspace. */
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
        for (EarlierVersion past : mEarlierVersions) {
            Optional<Workspace> earlier = Optional.ofNullable(past.workspaces.get(name));
            highestRate = Math.max(highestRate, earlier.map(Workspace::ratePerSecond).orElse(0.0));
            highestBurst = Math.max(highestBurst, earlier.map(Workspace::burst).orElse(0.0));
        }
        for (EarlierVersion past : mEarlierVersions) {
            int pastTotal = past.configuration.totalShareSlots();
            if (pastTotal > 0) {
                rate = Math.min(rate, highestRate / pastTotal);
                capacity = Math.min(capacity, highestBurst / pastTotal);
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
                past -> nowNanos - past.replacedNanos >= ShareTiming.CONFIGURATION_SETTLING_NANOS);
        mStoredSlotCounts =
                mStoredSlotCounts.filter(
                        each ->
                                nowNanos - each.readNanos
                                        < ShareTiming.CONFIGURATION_SETTLING_NANOS);
    }

    private static int domainSlots(Configuration configuration, FailureDomain domain) {
        return configuration.parts().failureDomains().stream()
                .filter(each -> each.name().equals(domain))
                .mapToInt(DomainShare::shareSlots)
                .findFirst()
                .orElse(0);
    }

    private static Map<WorkspaceName, Workspace> indexByName(Configuration configuration) {
        Map<WorkspaceName, Workspace> byName = new HashMap<>();
        configuration.parts().workspaces().forEach(each -> byName.put(each.name(), each));
        return byName;
    }
}
