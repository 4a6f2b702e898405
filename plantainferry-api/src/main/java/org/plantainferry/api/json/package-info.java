/**
 * Configures the JSON library for settings, release notes and protocol messages.
 *
 * @since 0.1
 */
package org.plantainferry.api.json;
