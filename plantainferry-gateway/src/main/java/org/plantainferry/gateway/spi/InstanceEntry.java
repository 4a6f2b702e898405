package org.plantainferry.gateway.spi;

/**
 * Describes one registered instance.
 *
 * @param name the name of the instance
 * @param failureDomain the failure domain in which it runs
 * @param peerAddress IP:PORT at which it receives messages of other instances
 * @since 0.2
 */
public record InstanceEntry(String name, String failureDomain, String peerAddress) {}
