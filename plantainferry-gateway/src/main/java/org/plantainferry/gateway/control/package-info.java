/**
 * Watches the configuration and the servers, replaces primaries and exchanges messages with other
 * instances; runs on one thread.
 */
package org.plantainferry.gateway.control;
