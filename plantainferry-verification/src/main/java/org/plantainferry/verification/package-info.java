/**
 * Provides stand-ins, history checkers, scenarios and load for developers.
 *
 * @since 0.1
 */
package org.plantainferry.verification;
