/**
 * Provides connections to target servers and the messages of the target protocol.
 *
 * @since 0.1
 */
package org.plantainferry.network.target;
