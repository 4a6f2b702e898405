/**
 * Passes operations to the instance that holds the connections to the servers, and receives them.
 */
package org.plantainferry.gateway.passing;
