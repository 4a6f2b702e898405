/** Defines the interfaces that an adapter for a platform implements. */
package org.plantainferry.gateway.spi;
