/**
 * Provides the stand-in servers, history checkers, scenarios and load generators for tests.
 *
 * @since 0.1
 */
package org.plantainferry.verification;
