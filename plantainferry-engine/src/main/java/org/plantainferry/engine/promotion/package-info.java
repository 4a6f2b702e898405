/** Decides when a primary is replaced and by which replica. */
package org.plantainferry.engine.promotion;
