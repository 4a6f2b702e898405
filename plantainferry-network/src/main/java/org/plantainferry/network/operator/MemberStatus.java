package org.plantainferry.network.operator;

import java.util.Optional;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Describes an instance as another instance knows it.
 *
 * @param instance the instance
 * @param failureDomain where it runs
 * @param state its state, as {@code live}, {@code leaving} or {@code suspected}
 * @param configurationVersion the newest version that it told; 0 for none
 * @param lastHeardAgeMillis the age of the last news of it; absent when there was none
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
