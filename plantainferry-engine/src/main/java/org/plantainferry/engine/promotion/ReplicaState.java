package org.plantainferry.engine.promotion;

import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;

/**
 * Holds the state that a server reported before a promotion.
 *
 * @param server the server
 * @param primary whether it is a primary
 * @param term the newest term known to it
 * @param received the position up to which it has received the log
 * @since 0.2
 */
public record ReplicaState(
        CatalogServer server, boolean primary, long term, LogPosition received) {}
