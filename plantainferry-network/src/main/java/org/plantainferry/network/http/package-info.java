/**
 * Holds the HTTP client that the store client and the target client share.
 *
 * @since 0.1
 */
package org.plantainferry.network.http;
