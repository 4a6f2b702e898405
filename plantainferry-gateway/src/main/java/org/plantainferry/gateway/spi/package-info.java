/** Defines what the gateway needs from a platform; an adapter implements it. */
package org.plantainferry.gateway.spi;
