/**
 * Decides which configuration is in force, how fresh it is, and which keys are accepted.
 *
 * <p>The types use no threads, sockets, clocks or random sources; callers pass in the time. Mutable
 * types are confined to one control thread; records are immutable and may be shared.
 *
 * @since 0.1
 */
package org.plantainferry.engine.configuration;
