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
    private record Past(
            Configuration configuration,
            Map<WorkspaceName, Workspace> workspaces,
            long replacedAt) {}

    private record StoredSlots(FailureDomain domain, int slots, int total, long since) {}

    private final List<Past> mPast = new ArrayList<>();
    private Optional<StoredSlots> mStored = Optional.empty();
    private Configuration mCurrent;
    private Map<WorkspaceName, Workspace> mWorkspaces;

    /** Creates terms from the first known version, which counts as settled. */
    public SlotConfiguration(Configuration configuration) {
        mCurrent = Preconditions.notNull(configuration, "configuration");
        mWorkspaces = byName(configuration);
    }

    /** Puts a newer version in force; other versions are ignored. */
    public void install(long nowNanos, Configuration configuration) {
        if (configuration.version() > mCurrent.version()) {
            mPast.add(new Past(mCurrent, mWorkspaces, nowNanos));
            mCurrent = configuration;
            mWorkspaces = byName(configuration);
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
            mStored = Optional.of(new StoredSlots(domain, slots, total, nowNanos));
        }
    }

    /** Returns the number of slots of a failure domain in the version in force. */
    public int configuredSlots(FailureDomain domain) {
        return slots(mCurrent, domain);
    }

    /** Returns the version in force. */
    public Configuration configuration() {
        return mCurrent;
    }

    /** Returns whether no earlier version can be in force anywhere. */
    public boolean isSettled(long nowNanos) {
        forget(nowNanos);
        return mPast.isEmpty() && mStored.isEmpty();
    }

    /** Returns how many slots of a failure domain, counted from index 0, are in use. */
    public int usableSlots(long nowNanos, FailureDomain domain) {
        forget(nowNanos);
        int usable = slots(mCurrent, domain);
        for (Past past : mPast) {
            // Version 0 has no slots at all and no limits, so it does not restrict its successor.
            if (past.configuration.totalShareSlots() > 0) {
                usable = Math.min(usable, slots(past.configuration, domain));
            }
        }
        if (mStored.isPresent() && mStored.get().domain().equals(domain)) {
            usable = Math.min(usable, mStored.get().slots());
        }
        return usable;
    }

    /** Returns the value of one slot for a workspace. */
    public SlotLimit slotLimit(long nowNanos, WorkspaceName name) {
        forget(nowNanos);
        Optional<Workspace> workspace = Optional.ofNullable(mWorkspaces.get(name));
        int total = mCurrent.totalShareSlots();
        if (workspace.isEmpty() || total == 0) {
            return SlotLimit.NONE;
        }
        double rate = workspace.get().ratePerSecond() / total;
        double capacity = workspace.get().burst() / total;
        double highestRate = workspace.get().ratePerSecond();
        double highestBurst = workspace.get().burst();
        for (Past past : mPast) {
            Optional<Workspace> earlier = Optional.ofNullable(past.workspaces.get(name));
            highestRate = Math.max(highestRate, earlier.map(Workspace::ratePerSecond).orElse(0.0));
            highestBurst = Math.max(highestBurst, earlier.map(Workspace::burst).orElse(0.0));
        }
        for (Past past : mPast) {
            int pastTotal = past.configuration.totalShareSlots();
            if (pastTotal > 0) {
                rate = Math.min(rate, highestRate / pastTotal);
                capacity = Math.min(capacity, highestBurst / pastTotal);
            }
        }
        if (mStored.isPresent()) {
            rate = Math.min(rate, highestRate / mStored.get().total());
            capacity = Math.min(capacity, highestBurst / mStored.get().total());
        }
        return new SlotLimit(rate, capacity);
    }

    private void forget(long nowNanos) {
        mPast.removeIf(past -> nowNanos - past.replacedAt >= ShareTiming.CONFIGURATION_SETTLING);
        mStored =
                mStored.filter(each -> nowNanos - each.since < ShareTiming.CONFIGURATION_SETTLING);
    }

    private static int slots(Configuration configuration, FailureDomain domain) {
        return configuration.parts().failureDomains().stream()
                .filter(each -> each.name().equals(domain))
                .mapToInt(DomainShare::shareSlots)
                .findFirst()
                .orElse(0);
    }

    private static Map<WorkspaceName, Workspace> byName(Configuration configuration) {
        Map<WorkspaceName, Workspace> byName = new HashMap<>();
        configuration.parts().workspaces().forEach(each -> byName.put(each.name(), each));
        return byName;
    }
}
