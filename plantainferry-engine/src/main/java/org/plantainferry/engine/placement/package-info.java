/** Selects the server of a statement and divides connections among instances. */
package org.plantainferry.engine.placement;
