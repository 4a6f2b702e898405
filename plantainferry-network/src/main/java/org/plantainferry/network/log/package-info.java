/**
 * Defines the numbered log events of the network.
 *
 * @since 0.1
 */
package org.plantainferry.network.log;
