/**
 * Defines the status that an instance reports to operators, and a client that reads it.
 *
 * @since 0.1
 */
package org.plantainferry.network.operator;
