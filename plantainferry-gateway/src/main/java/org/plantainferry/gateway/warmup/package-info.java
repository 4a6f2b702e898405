/** Runs the code of statements before the first caller comes, so that it is compiled by then. */
package org.plantainferry.gateway.warmup;
