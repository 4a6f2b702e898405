/**
 * Defines log positions and the session token that carries one between instances.
 *
 * @since 0.1
 */
package org.plantainferry.api.session;
