package org.plantainferry.engine.placement;

import org.plantainferry.engine.catalog.CatalogServer;

/**
 * Joins a server with what this instance knows of it.
 *
 * @since 0.2
 */
public record ReadCandidate(CatalogServer server, ServerHealth health) {}
