/**
 * Chooses the server for each read and write from what is known about the group.
 *
 * <p>Nothing here is safe for use by several threads; one event loop owns all objects of a service.
 *
 * @since 0.1
 */
package org.plantainferry.engine.routing;
