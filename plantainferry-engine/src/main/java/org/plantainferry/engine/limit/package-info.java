/**
 * Limits the rate and burst of each workspace over the whole fleet with conserved shares.
 *
 * @since 0.1
 */
package org.plantainferry.engine.limit;
