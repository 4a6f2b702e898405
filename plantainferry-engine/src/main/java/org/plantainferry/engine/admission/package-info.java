/**
 * Orders waiting requests fairly over workspaces and limits the work of each server.
 *
 * <p>Nothing here is safe for use by several threads; one event loop owns all objects of a service.
 *
 * @since 0.1
 */
package org.plantainferry.engine.admission;
