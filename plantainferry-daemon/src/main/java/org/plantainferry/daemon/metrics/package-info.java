/**
 * Exposes metrics of requests, statements and the instance.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.metrics;
