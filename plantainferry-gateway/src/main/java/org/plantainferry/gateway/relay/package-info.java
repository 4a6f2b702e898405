/** Passes connections on to servers that another instance does not reach. */
package org.plantainferry.gateway.relay;
