/**
 * Turns session tokens into the least log position of a read and back.
 *
 * <p>Nothing here is safe for use by several threads; one event loop owns all objects of a service.
 *
 * @since 0.1
 */
package org.plantainferry.engine.session;
