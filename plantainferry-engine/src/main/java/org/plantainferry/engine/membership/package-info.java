/**
 * Keeps the view of the live instances and ranks them for services.
 *
 * <p>All types are pure: they hold no threads, sockets, clocks or random sources. One control
 * thread calls the mutable ones; records may be shared.
 *
 * @since 0.1
 */
package org.plantainferry.engine.membership;
