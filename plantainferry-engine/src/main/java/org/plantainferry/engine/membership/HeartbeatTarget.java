package org.plantainferry.engine.membership;

import org.plantainferry.api.InstanceId;

/**
 * Orders a heartbeat to one peer.
 *
 * @param peer the receiver
 * @param address its IP:PORT for other instances
 * @param answerWanted whether to wait for an answer, or its failure, and to report it
 * @since 0.1
 */
public record HeartbeatTarget(InstanceId peer, String address, boolean answerWanted) {}
