package org.plantainferry.engine.promotion;

import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;

/**
 * Holds what a server said when it was asked before a promotion.
 *
 * @param server the server
 * @param primary whether it leads
 * @param term the newest term that it knows
 * @param received the position up to which it has received the log
 * @since 0.2
 */
public record ReplicaState(
        CatalogServer server, boolean primary, long term, LogPosition received) {}
