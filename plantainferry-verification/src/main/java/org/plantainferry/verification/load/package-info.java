/**
 * Load generator for instances and servers on loopback addresses, with a report of the results.
 *
 * @since 0.1
 */
package org.plantainferry.verification.load;
