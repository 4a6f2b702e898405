/** Holds the typed messages of callers and servers. */
package org.plantainferry.gateway.statement;
