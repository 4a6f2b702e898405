/**
 * Contains the decision logic for membership, limits, routing, sessions, replacement of primaries
 * and retries; performs no I/O.
 *
 * @since 0.1
 */
package org.plantainferry.engine;
