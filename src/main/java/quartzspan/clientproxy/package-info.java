/**
 * The client proxy of single deployments: discovery, health checks and request forwarding, controlled
 * by the load balancer.
 *
 * <p>Its event loop owns the list of endpoints and the requests in flight. It may import
 * {@code http}, {@code loadbalancing} and {@code simulator}.
 */
package quartzspan.clientproxy;
