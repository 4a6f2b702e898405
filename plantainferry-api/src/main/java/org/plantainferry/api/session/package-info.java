/**
 * Defines log positions and the session token that carries one from instance to instance.
 *
 * @since 0.1
 */
package org.plantainferry.api.session;
