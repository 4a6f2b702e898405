/**
 * Provides the scenario language and the runner that executes scenarios against real instances.
 *
 * @since 0.1
 */
package org.plantainferry.verification.scenario;
