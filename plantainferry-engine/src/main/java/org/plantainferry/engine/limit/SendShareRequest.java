package org.plantainferry.engine.limit;

import org.plantainferry.api.InstanceId;

/**
 * Instructs the caller to send a share request.
 *
 * @param allocator the receiver, which may be the sender itself
 * @param request the request to send
 * @since 0.1
 */
public record SendShareRequest(InstanceId allocator, ShareRequest request) {}
