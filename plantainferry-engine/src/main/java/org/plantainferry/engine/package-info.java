/**
 * Decides: membership, limits, routing, sessions, replacement of primaries, retries; without I/O.
 *
 * @since 0.1
 */
package org.plantainferry.engine;
