/**
 * Tracks the live instances and ranks them for services.
 *
 * <p>The types use no threads, sockets or clocks; callers pass in the time and the random source.
 * Mutable types are confined to one control thread; records are immutable and may be shared.
 *
 * @since 0.1
 */
package org.plantainferry.engine.membership;
