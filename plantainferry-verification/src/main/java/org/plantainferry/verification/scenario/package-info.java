/**
 * Provides the scenario language and the runner that tests real instances with it.
 *
 * @since 0.1
 */
package org.plantainferry.verification.scenario;
