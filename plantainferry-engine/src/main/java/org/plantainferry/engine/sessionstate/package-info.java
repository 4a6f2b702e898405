/** Sets up server connections with the state that was acknowledged to the caller of a session. */
package org.plantainferry.engine.sessionstate;
