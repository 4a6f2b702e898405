/**
 * Defines the types that all modules of plantainferry share: identifiers, verdicts, error codes.
 *
 * <p>This module performs no I/O and depends only on a JSON library.
 *
 * @since 0.1
 */
package org.plantainferry.api;
