/**
 * Provides the message transport between instances.
 *
 * @since 0.1
 */
package org.plantainferry.network.peer;
