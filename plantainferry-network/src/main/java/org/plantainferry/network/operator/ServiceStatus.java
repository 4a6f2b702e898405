package org.plantainferry.network.operator;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;

/**
 * Describes a service as an instance knows it.
 *
 * @param service the service
 * @param term the newest term known; 0 for none
 * @param primary the primary of that term; absent when none is known
 * @param servers the servers of its group
 * @since 0.1
 */
public record ServiceStatus(
        ServiceName service, long term, Optional<ServerId> primary, List<ServerStatus> servers) {
    /** Checks that nothing required is missing. */
    public ServiceStatus {
        Preconditions.notNull(service, "service");
        primary = primary == null ? Optional.empty() : primary;
        servers = servers == null ? List.of() : List.copyOf(servers);
    }
}
