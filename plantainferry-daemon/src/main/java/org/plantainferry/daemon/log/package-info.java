/**
 * Defines the numbered log events.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.log;
