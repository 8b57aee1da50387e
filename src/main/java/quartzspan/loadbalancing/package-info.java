/**
 * Decisions where requests go: ring hash (gRPC A76), limits, outlier detection, retries. No clock, no I/O.
 *
 * <p>Owns what is known of endpoints and requests. May import none of the other packages.
 */
package quartzspan.loadbalancing;
