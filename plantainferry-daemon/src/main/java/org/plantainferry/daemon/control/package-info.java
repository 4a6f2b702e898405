/**
 * Makes the decisions of an instance on a single control thread, which owns all control state.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.control;
