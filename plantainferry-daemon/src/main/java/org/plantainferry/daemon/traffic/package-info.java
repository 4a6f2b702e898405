/**
 * Carries callers' requests to target servers.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.traffic;
