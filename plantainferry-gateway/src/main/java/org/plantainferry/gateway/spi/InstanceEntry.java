package org.plantainferry.gateway.spi;

import org.plantainferry.engine.freshness.StoreEpoch;

/**
 * Describes one registered instance.
 *
 * @param name the name of the instance
 * @param failureDomain the failure domain in which it runs
 * @param peerAddress IP:PORT at which it receives messages of other instances
 * @param settledEpoch the newest epoch of the store in which the instance found the list of
 *     instances to be complete; unknown if there is none, and for builds that record none
 * @since 0.2
 */
public record InstanceEntry(
        String name, String failureDomain, String peerAddress, StoreEpoch settledEpoch) {
    /** Creates the entry of an instance that recorded no epoch. */
    public InstanceEntry(String name, String failureDomain, String peerAddress) {
        this(name, failureDomain, peerAddress, StoreEpoch.UNKNOWN);
    }

    /** Returns whether another entry is of the same instance at the same address. */
    public boolean isSameInstance(InstanceEntry other) {
        return name.equals(other.name)
                && failureDomain.equals(other.failureDomain)
                && peerAddress.equals(other.peerAddress);
    }

    /** Returns this entry with a recorded epoch. */
    public InstanceEntry withSettledEpoch(StoreEpoch epoch) {
        return new InstanceEntry(name, failureDomain, peerAddress, epoch);
    }
}
