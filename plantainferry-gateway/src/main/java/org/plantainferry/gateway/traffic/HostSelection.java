package org.plantainferry.gateway.traffic;

import java.util.List;
import java.util.Optional;
import org.plantainferry.engine.hosting.HostAssignments;
import org.plantainferry.gateway.passing.HostLink;
import org.plantainferry.gateway.passing.HostLinks;

/** Chooses the instance that runs an operation, without waiting for any. */
final class HostSelection {
    private final HostAssignments mAssignments;
    private final HostLinks mLinks;
    private final TrafficMetrics mMetrics;

    HostSelection(HostAssignments assignments, HostLinks links, TrafficMetrics metrics) {
        mAssignments = assignments;
        mLinks = links;
        mMetrics = metrics;
    }

    /** Returns whether operations for a service go to hosts. */
    boolean isConcentrated(String service) {
        return mAssignments.isConcentrated(service);
    }

    /**
     * Returns the link to the first host that takes an operation now; empty if this instance comes
     * first or no host does.
     *
     * @param atPrimary whether only the primary can answer
     */
    Optional<HostLink> choose(String service, boolean atPrimary) {
        List<String> hosts =
                atPrimary ? mAssignments.primaryHosts(service) : mAssignments.readHosts(service);
        for (String host : hosts) {
            if (mAssignments.isThisInstance(host)) {
                mMetrics.onOperationKept("own");
                return Optional.empty();
            }
            Optional<HostLink> link = mLinks.usable(host);
            if (link.isPresent()) {
                mMetrics.onOperationPassed();
                return link;
            }
        }
        mMetrics.onOperationKept("no-host");
        return Optional.empty();
    }
}
