/** Reads and checks the settings of the gateway. */
package org.plantainferry.gateway.settings;
