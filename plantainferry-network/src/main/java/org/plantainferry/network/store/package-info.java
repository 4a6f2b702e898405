/**
 * Provides the client for the platform's object store.
 *
 * @since 0.1
 */
package org.plantainferry.network.store;
