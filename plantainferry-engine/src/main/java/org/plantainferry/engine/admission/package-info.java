/**
 * Queues requests fairly among workspaces and limits the concurrency of each server.
 *
 * <p>The types are not thread-safe; all objects of a service belong to one event loop.
 *
 * @since 0.1
 */
package org.plantainferry.engine.admission;
