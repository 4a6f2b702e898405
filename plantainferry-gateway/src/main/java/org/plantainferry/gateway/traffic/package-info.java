/** Serves the sessions of callers on server connections; runs on one thread. */
package org.plantainferry.gateway.traffic;
