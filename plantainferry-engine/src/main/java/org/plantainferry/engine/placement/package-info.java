/** Chooses the server of a statement. */
package org.plantainferry.engine.placement;
