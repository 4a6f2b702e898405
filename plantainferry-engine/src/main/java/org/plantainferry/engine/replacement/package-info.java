/**
 * Detects failed primaries, elects their successors and checks acknowledgements of writes.
 *
 * <p>The types use no threads, sockets, clocks or random sources. Mutable types are called by one
 * control thread; records may be shared between threads.
 *
 * @since 0.1
 */
package org.plantainferry.engine.replacement;
