package org.plantainferry.engine.catalog;

import org.plantainferry.api.Preconditions;

/**
 * Describes one server of a group by its latest entry.
 *
 * @param id the id, which differs from those of servers that used the same address before
 * @param service the service whose group it belongs to
 * @param address the address for statements, as IP:PORT
 * @param failureDomain the failure domain in which it runs
 * @param primary whether it claims to be the primary
 * @param draining whether it accepts no new work
 * @param slots the number of statements that it runs concurrently
 * @param startedAtMillis Unix time of its start in milliseconds, which distinguishes two starts
 *     with one id
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

    /** Returns whether another entry describes the same process at the same address. */
    public boolean isSameProcess(CatalogServer other) {
        return id.equals(other.id)
                && address.equals(other.address)
                && service.equals(other.service)
                && startedAtMillis == other.startedAtMillis;
    }

    // Written out, because a generated method is linked at run time in each process.
    @Override
    public boolean equals(Object other) {
        return other instanceof CatalogServer that
                && id.equals(that.id)
                && service.equals(that.service)
                && address.equals(that.address)
                && failureDomain.equals(that.failureDomain)
                && primary == that.primary
                && draining == that.draining
                && slots == that.slots
                && startedAtMillis == that.startedAtMillis;
    }

    @Override
    public int hashCode() {
        int hash = id.hashCode();
        hash = 31 * hash + service.hashCode();
        hash = 31 * hash + address.hashCode();
        hash = 31 * hash + failureDomain.hashCode();
        hash = 31 * hash + Boolean.hashCode(primary);
        hash = 31 * hash + Boolean.hashCode(draining);
        hash = 31 * hash + slots;
        hash = 31 * hash + Long.hashCode(startedAtMillis);
        return hash;
    }
}
