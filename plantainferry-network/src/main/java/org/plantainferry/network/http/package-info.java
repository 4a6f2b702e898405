/**
 * Provides the HTTP client that the clients for the store, target servers and operator endpoints
 * share.
 *
 * @since 0.1
 */
package org.plantainferry.network.http;
