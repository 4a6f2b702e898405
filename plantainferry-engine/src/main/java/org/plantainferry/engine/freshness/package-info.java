/** Decides which log position a read must see and how old a belief may be. */
package org.plantainferry.engine.freshness;
