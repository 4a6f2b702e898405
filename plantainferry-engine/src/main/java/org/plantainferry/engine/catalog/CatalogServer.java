package org.plantainferry.engine.catalog;

import org.plantainferry.api.Preconditions;

/**
 * Describes one server of a group as it last described itself.
 *
 * @param id the server; unique, also among servers that used the same address before
 * @param service the group to which it belongs
 * @param address IP:PORT for statements
 * @param failureDomain where it runs
 * @param primary whether it sees itself as the primary
 * @param draining whether it takes no new work
 * @param slots how many statements it runs at the same time
 * @param startedAtMillis Unix time of its start in milliseconds; tells apart two starts with one id
 * @since 0.2
 */
public record CatalogServer(
        String id,
        String service,
        String address,
        String failureDomain,
        boolean primary,
        boolean draining,
        int slots,
        long startedAtMillis) {
    /** Checks that nothing is missing. */
    public CatalogServer {
        Preconditions.notNull(id, "id");
        Preconditions.notNull(service, "service");
        Preconditions.notNull(address, "address");
        Preconditions.notNull(failureDomain, "failureDomain");
    }

    /** Returns whether the other entry describes the same process at the same place. */
    public boolean isSameProcess(CatalogServer other) {
        return id.equals(other.id)
                && address.equals(other.address)
                && service.equals(other.service)
                && startedAtMillis == other.startedAtMillis;
    }
}
