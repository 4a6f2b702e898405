/**
 * Runs the control thread, the only owner of control state.
 *
 * @since 0.1
 */
package org.plantainferry.daemon.control;
