/** Decides which connections give way when the memory of a process for its callers is short. */
package org.plantainferry.engine.memory;
