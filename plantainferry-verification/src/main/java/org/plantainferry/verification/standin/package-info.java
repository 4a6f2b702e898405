/**
 * Provides the code that the stand-ins of external systems share: HTTP listeners, requests and
 * responses, and free ports.
 *
 * @since 0.1
 */
package org.plantainferry.verification.standin;
