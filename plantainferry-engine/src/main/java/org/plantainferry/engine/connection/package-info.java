/**
 * Decides when connections to a server are opened, reused and closed.
 *
 * <p>The types are not thread-safe; one event loop owns all objects of a service.
 *
 * @since 0.1
 */
package org.plantainferry.engine.connection;
