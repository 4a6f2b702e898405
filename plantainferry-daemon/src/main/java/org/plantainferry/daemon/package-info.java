/**
 * Runs an instance: settings, control thread, listeners, metrics and log events.
 *
 * @since 0.1
 */
package org.plantainferry.daemon;
