/**
 * Implements the operators' command line.
 *
 * @since 0.1
 */
package org.plantainferry.cli;
