/** Lists the log events of the gateway. */
package org.plantainferry.gateway.log;
