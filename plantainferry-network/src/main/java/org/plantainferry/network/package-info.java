/**
 * Provides the network clients for the store, for target servers and for other instances.
 *
 * @since 0.1
 */
package org.plantainferry.network;
