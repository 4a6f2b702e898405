package org.plantainferry.api.configuration;

import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;

/**
 * Describes one server of a service.
 *
 * @param id the identifier of the server
 * @param address its IP address and port, such as {@code 10.0.0.1:5432}
 * @param failureDomain the failure domain in which it runs
 * @since 0.1
 */
public record TargetServer(ServerId id, String address, FailureDomain failureDomain) {
    /** Checks that nothing is missing and that the address has a port. */
    public TargetServer {
        Preconditions.notNull(id, "server id");
        Preconditions.notNull(failureDomain, "failureDomain of server " + id);
        Preconditions.condition(
                address != null && address.matches("[^:\\s]+:[0-9]{1,5}"),
                "address of server " + id + " must be IP:PORT");
    }
}
