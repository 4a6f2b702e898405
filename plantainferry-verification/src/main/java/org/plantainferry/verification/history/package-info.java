/**
 * Provides the history of a concurrent run and the checkers that verify guarantees against it.
 *
 * @since 0.1
 */
package org.plantainferry.verification.history;
