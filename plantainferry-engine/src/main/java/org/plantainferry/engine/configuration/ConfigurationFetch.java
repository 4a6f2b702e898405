package org.plantainferry.engine.configuration;

import org.plantainferry.api.InstanceId;

/**
 * Describes a fetch of the configuration from a peer.
 *
 * @param peer the peer to fetch from, which has a newer version in force
 * @param newerThan the version in force on this instance
 * @since 0.1
 */
public record ConfigurationFetch(InstanceId peer, long newerThan) {}
