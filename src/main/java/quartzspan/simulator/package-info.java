/**
 * The adapter that lets the simulator drive the load balancer.
 *
 * <p>Owns no state. May import {@code loadbalancing} only.
 */
package quartzspan.simulator;
