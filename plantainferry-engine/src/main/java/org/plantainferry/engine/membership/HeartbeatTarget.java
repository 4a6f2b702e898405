package org.plantainferry.engine.membership;

import org.plantainferry.api.InstanceId;

/**
 * Identifies a peer that is due a heartbeat.
 *
 * @param peer the peer that receives the heartbeat
 * @param address the IP:PORT at which the peer accepts connections of other instances
 * @param answerWanted whether to request an answer and to report the answer or its absence
 * @since 0.1
 */
public record HeartbeatTarget(InstanceId peer, String address, boolean answerWanted) {}
