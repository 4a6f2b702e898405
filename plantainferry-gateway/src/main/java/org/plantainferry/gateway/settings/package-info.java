/** Reads and validates the settings of the gateway. */
package org.plantainferry.gateway.settings;
