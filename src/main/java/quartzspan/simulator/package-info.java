/**
 * The adapter that lets the simulator drive the load balancer.
 *
 * <p>Owns no state. May import {@code loadbalancing}.
 */
package quartzspan.simulator;
