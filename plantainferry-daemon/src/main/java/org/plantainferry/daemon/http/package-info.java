/**
 * Serves callers and operators over HTTP.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.http;
