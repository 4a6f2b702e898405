/**
 * Defines what an instance tells operators, and reads it.
 *
 * @since 0.1
 */
package org.plantainferry.network.operator;
