/**
 * Provides a TCP relay that adds delay and cuts between addresses.
 *
 * @since 0.1
 */
package org.plantainferry.verification.standin.relay;
