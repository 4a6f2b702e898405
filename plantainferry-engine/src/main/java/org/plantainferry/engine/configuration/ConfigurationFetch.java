package org.plantainferry.engine.configuration;

import org.plantainferry.api.InstanceId;

/**
 * Orders a fetch of the configuration from a peer.
 *
 * @param peer the peer that has a newer version
 * @param newerThan the version in force here
 * @since 0.1
 */
public record ConfigurationFetch(InstanceId peer, long newerThan) {}
