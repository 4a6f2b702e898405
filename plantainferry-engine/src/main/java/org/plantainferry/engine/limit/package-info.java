/**
 * Limits the rate and burst of each workspace over the whole fleet.
 *
 * <p>The limit of a workspace is divided into share slots. Instances hold slots, deposit them with
 * an allocator and borrow grants according to demand. The sum of all shares never exceeds the
 * limit.
 *
 * @since 0.1
 */
package org.plantainferry.engine.limit;
