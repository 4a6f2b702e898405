/**
 * Carries messages between instances.
 *
 * @since 0.1
 */
package org.plantainferry.network.peer;
