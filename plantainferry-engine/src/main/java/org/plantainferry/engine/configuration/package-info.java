/**
 * Decides which configuration is in force, how fresh it is, and which keys are accepted.
 *
 * <p>All types are pure: they hold no threads, sockets, clocks or random sources. One control
 * thread calls the mutable ones; records may be shared.
 *
 * @since 0.1
 */
package org.plantainferry.engine.configuration;
