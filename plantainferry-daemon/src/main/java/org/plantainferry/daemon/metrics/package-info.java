/**
 * Counts and times requests.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.metrics;
