/** Serves line sessions of callers: one process an instance, for operators of the gateway. */
package org.plantainferry.gateway;
