/** Divides the rate and burst of a workspace among the instances by demand. */
package org.plantainferry.engine.quota;
