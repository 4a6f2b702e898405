/**
 * Reads and validates the settings of an instance.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.settings;
