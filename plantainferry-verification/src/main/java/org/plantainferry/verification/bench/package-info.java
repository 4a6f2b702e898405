/**
 * Measures the speed of an instance, the slopes of its cost, and policies against each other.
 *
 * @since 0.1
 */
package org.plantainferry.verification.bench;
