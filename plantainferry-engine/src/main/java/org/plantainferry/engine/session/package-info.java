/**
 * Converts session tokens to the minimum log position of a read and back.
 *
 * <p>The types are not thread-safe; one event loop owns all objects of a service.
 *
 * @since 0.1
 */
package org.plantainferry.engine.session;
