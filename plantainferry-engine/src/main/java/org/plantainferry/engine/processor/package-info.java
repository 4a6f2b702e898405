/**
 * Decides what an instance does while its own processor is short.
 *
 * <p>The types are not thread-safe; the objects of a thread belong to that thread.
 *
 * @since 0.6
 */
package org.plantainferry.engine.processor;
