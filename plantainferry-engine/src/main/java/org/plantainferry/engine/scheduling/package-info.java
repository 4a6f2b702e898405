/**
 * Decides which waiting statement goes first when there is too little room, and which is refused.
 */
package org.plantainferry.engine.scheduling;
