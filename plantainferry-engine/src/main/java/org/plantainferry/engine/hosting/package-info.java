/**
 * Decides to which instance the statements for a service are passed, so that few hold connections.
 */
package org.plantainferry.engine.hosting;
