/**
 * Decides which failed requests are retried, when, and how many in total.
 *
 * <p>The types are not thread-safe; all objects of a service belong to one event loop.
 *
 * @since 0.1
 */
package org.plantainferry.engine.retry;
