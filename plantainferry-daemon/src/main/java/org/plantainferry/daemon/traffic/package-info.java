/**
 * Routes callers' requests to target servers and answers them.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.traffic;
