/**
 * Load balancing: ring hash (gRFC A76), concurrency limits, outlier detection, retries. No clock, no I/O.
 *
 * <p>Owns the state of endpoints and requests. Imports no other package of this project.
 */
package quartzspan.loadbalancing;
