/** Forwards connections to servers that another instance cannot reach. */
package org.plantainferry.gateway.relay;
