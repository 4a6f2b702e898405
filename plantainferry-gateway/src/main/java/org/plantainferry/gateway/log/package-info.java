/** Defines the log events of the gateway and writes them to standard output. */
package org.plantainferry.gateway.log;
