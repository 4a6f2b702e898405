/** Decides what may still be sent to the servers of a failure domain that operators evacuate. */
package org.plantainferry.engine.evacuation;
