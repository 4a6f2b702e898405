/**
 * Provides a TCP relay that injects delays and network partitions between addresses.
 *
 * @since 0.1
 */
package org.plantainferry.verification.standin.relay;
