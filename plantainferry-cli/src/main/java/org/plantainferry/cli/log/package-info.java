/** Reads the logs of gateways and explains what happened to a request. */
package org.plantainferry.cli.log;
