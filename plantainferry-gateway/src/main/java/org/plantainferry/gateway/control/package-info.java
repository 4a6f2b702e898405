/** Follows the configuration and the servers, and replaces primaries; runs on one thread. */
package org.plantainferry.gateway.control;
