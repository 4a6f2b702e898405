/** Defines the typed messages exchanged with callers and servers. */
package org.plantainferry.gateway.statement;
