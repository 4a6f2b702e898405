/**
 * Configures the JSON library in one place, for settings, notes and protocol messages.
 *
 * @since 0.1
 */
package org.plantainferry.api.json;
