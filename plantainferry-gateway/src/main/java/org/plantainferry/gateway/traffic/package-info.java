/** Serves caller sessions over pooled server connections, on a single event loop. */
package org.plantainferry.gateway.traffic;
