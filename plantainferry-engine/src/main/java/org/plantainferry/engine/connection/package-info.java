/**
 * Decides when connections to a server are opened, reused and closed.
 *
 * <p>Nothing here is safe for use by several threads; one event loop owns all objects of a service.
 *
 * @since 0.1
 */
package org.plantainferry.engine.connection;
