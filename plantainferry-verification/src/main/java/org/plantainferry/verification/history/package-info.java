/**
 * Provides the record of a concurrent run and the checkers that decide promises from it.
 *
 * @since 0.1
 */
package org.plantainferry.verification.history;
