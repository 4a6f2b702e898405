/**
 * Benchmarks for the latency and throughput of an instance, for the growth of its cost with the
 * size of the fleet and the configuration, and for the comparison of policies.
 *
 * @since 0.1
 */
package org.plantainferry.verification.bench;
