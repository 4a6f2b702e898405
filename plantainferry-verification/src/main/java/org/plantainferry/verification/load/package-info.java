/**
 * Drives callers against instances on loopback addresses and reports what they saw.
 *
 * @since 0.1
 */
package org.plantainferry.verification.load;
