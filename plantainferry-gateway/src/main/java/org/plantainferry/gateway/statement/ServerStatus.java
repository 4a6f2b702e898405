package org.plantainferry.gateway.statement;

import org.plantainferry.api.session.LogPosition;

/**
 * Holds the status that a server reports about itself.
 *
 * @param primary whether it considers itself the primary of its group
 * @param term the newest term that it knows
 * @param received the log position up to which it has received
 * @since 0.2
 */
public record ServerStatus(boolean primary, long term, LogPosition received) {}
