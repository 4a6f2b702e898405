/**
 * Carries messages to the store, to targets and between instances.
 *
 * @since 0.1
 */
package org.plantainferry.network;
