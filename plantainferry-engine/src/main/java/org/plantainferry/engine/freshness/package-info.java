/** Determines which log position a read must see and how old cached information is. */
package org.plantainferry.engine.freshness;
