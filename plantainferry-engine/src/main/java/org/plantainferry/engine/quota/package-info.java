/** Divides the rate and burst of each workspace among the instances by demand. */
package org.plantainferry.engine.quota;
