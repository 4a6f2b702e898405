/** Assembles and starts the gateway, which serves the line protocol sessions of callers. */
package org.plantainferry.gateway;
