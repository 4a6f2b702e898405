package org.plantainferry.gateway.spi;

/**
 * Describes one instance of the system to the others.
 *
 * @param name the instance
 * @param failureDomain where it runs
 * @param peerAddress IP:PORT for messages of other instances
 * @since 0.2
 */
public record InstanceEntry(String name, String failureDomain, String peerAddress) {}
