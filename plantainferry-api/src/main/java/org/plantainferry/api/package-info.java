/**
 * Defines the types that every part of plantainferry shares: identifiers, verdicts, error codes.
 *
 * <p>This module has no I/O and depends only on a JSON library.
 *
 * @since 0.1
 */
package org.plantainferry.api;
