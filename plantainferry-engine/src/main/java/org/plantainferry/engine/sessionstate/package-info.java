/** Brings server connections into the state that a session has acknowledged to its caller. */
package org.plantainferry.engine.sessionstate;
