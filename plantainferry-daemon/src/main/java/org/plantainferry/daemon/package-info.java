/**
 * Assembles and runs an instance of the daemon from its settings.
 *
 * @since 0.1
 */
package org.plantainferry.daemon;
