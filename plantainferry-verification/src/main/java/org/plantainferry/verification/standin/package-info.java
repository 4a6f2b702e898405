/**
 * Provides what the stand-ins of outside systems have in common: HTTP listeners and answers.
 *
 * @since 0.1
 */
package org.plantainferry.verification.standin;
