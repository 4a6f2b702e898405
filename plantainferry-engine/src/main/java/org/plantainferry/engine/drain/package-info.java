/**
 * Controls the phases in which an instance stops accepting work.
 *
 * <p>The types use no threads, sockets, clocks or sources of randomness. Mutable types belong to
 * one control thread; records may be shared between threads.
 *
 * @since 0.1
 */
package org.plantainferry.engine.drain;
