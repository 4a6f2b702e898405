/**
 * Decides which failed attempts are repeated, when, and how many in total.
 *
 * <p>Nothing here is safe for use by several threads; one event loop owns all objects of a service.
 *
 * @since 0.1
 */
package org.plantainferry.engine.retry;
