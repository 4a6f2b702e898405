/**
 * Defines the numbered log events of the network module.
 *
 * @since 0.1
 */
package org.plantainferry.network.log;
