package org.plantainferry.network.operator;

import java.util.Optional;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Describes an instance as another instance knows it.
 *
 * @param instance the instance
 * @param failureDomain the failure domain in which it runs
 * @param state its state, {@code live}, {@code leaving} or {@code suspected}
 * @param configurationVersion the newest configuration version that it reported; 0 for none
 * @param lastHeardAgeMillis the time since the last message about it; absent when there was none
 * @since 0.1
 */
public record MemberStatus(
        InstanceId instance,
        FailureDomain failureDomain,
        String state,
        long configurationVersion,
        Optional<Long> lastHeardAgeMillis) {
    /** Checks that nothing required is missing. */
    public MemberStatus {
        Preconditions.notNull(instance, "instance");
        Preconditions.notNull(failureDomain, "failureDomain");
        Preconditions.notNull(state, "state");
        lastHeardAgeMillis = lastHeardAgeMillis == null ? Optional.empty() : lastHeardAgeMillis;
    }
}
