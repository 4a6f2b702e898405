/**
 * Defines the configuration, its parts and the release notes that update it.
 *
 * @since 0.1
 */
package org.plantainferry.api.configuration;
