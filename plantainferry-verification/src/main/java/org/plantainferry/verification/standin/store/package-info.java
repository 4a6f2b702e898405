/**
 * Provides a stand-in of the platform's object store and list of instances.
 *
 * @since 0.1
 */
package org.plantainferry.verification.standin.store;
