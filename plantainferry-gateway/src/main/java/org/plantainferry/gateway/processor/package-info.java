/** Measures how late the event loops run, and how much processor time each thread takes. */
package org.plantainferry.gateway.processor;
