/** Learns how many statements each server takes well, and how long it takes for each kind. */
package org.plantainferry.engine.capacity;
