/**
 * Defines the numbered log events of the daemon.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.log;
