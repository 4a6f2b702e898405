/**
 * Detects lost primaries, chooses their successors and guards acknowledgements.
 *
 * <p>All types are pure: they hold no threads, sockets, clocks or random sources. One control
 * thread calls the mutable ones; records may be shared.
 *
 * @since 0.1
 */
package org.plantainferry.engine.replacement;
